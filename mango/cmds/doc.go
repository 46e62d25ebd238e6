// Package cmds implements mango's commands: each translates its arguments into API calls and prints the response.
package cmds
