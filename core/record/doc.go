// Package record defines the records on the platform's log and their JSON form.
package record
