// Package folder reads and rewrites a directory of declarations section by section and keeps the rest of its text.
package folder
