// Package node assembles the job service of a gate from its parts and the platform's adapters.
package node
