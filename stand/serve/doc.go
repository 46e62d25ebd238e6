// Package serve puts the stand together: settings, platform, workers, fault switches and counts in one process.
package serve
