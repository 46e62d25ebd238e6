// Package plat is the one adapter to the platform: its log, its VM list, its pools and its workers over HTTP.
package plat
