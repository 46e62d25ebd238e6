// Package delay decides how long a task should wait for room near its data, or beside its group, before it starts elsewhere. The
// field's term is delay scheduling. It uses neither network nor clock.
package delay
