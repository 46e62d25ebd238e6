// Package config reads INI settings into a program's struct, checks every key and prints the reference page.
package config
