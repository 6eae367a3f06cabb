// Package boottime tells the time since the VM started, time in suspension included.
package boottime
