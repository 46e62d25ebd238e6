// Package count measures exactly, over all workers of the stand, what was started, for whom, where and how often.
package count
