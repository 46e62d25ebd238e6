// Package record defines the records in the platform's log and their JSON form.
package record
