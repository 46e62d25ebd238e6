// Package config reads a program's INI settings into the fields of a struct, validates every key and generates the
// reference table.
package config
