// Package node assembles a gate's job service from its components and the platform's adapters.
package node
