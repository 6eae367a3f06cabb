// Package replay builds a state from the records of a log stream, keeps it up to date, and lets callers wait for changes.
package replay
