// Package fold keeps the state that a log stream folds to and lets callers wait for its changes.
package fold
