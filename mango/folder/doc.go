// Package folder reads a directory of declarations and rewrites changed sections, keeping comments and the other text.
package folder
