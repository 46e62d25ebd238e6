// Package ports declares what the job service needs of the platform; adapters and stand-ins implement it.
package ports
