// Package show prints what the commands found, as tables for people or as JSON for programs.
package show
