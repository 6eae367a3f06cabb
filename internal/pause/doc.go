// Package pause waits on the clock that is passed in, for no longer than a context goes on.
package pause
