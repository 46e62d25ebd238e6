// Package show prints the results of commands, as tables or as JSON.
package show
