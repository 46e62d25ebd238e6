// Package plat is the HTTP client of the platform: its log, VM list, pools and workers. No other package calls it directly.
package plat
