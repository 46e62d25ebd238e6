// Package logs makes klog write its log lines as JSON, one object per line.
package logs
