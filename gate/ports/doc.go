// Package ports declares the interfaces through which the job service uses the platform. The platform adapters and the test
// doubles implement them.
package ports
