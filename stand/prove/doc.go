// Package prove tests the product's promises on real gate processes, which are killed, suspended, disconnected and
// restarted under load.
package prove
