// Package pause waits for a duration on a given clock, or until a context ends.
package pause
