// Command gate is one of mangowing's programs; see README.md.
package main

func main() {}
