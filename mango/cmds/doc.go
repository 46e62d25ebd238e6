// Package cmds holds mango's commands: each maps its arguments to calls and hands the answer to the printer.
package cmds
