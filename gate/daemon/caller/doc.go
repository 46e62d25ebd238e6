// Package caller serves the callers' interface: it admits requests by key and answers with an outcome and a code.
package caller
