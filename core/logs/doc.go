// Package logs sends klog's lines to a writer as JSON, one object a line.
package logs
