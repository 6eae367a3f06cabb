// Package boottime returns the time since the VM was booted, including the time in which it was suspended.
package boottime
