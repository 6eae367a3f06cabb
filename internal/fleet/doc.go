// Package fleet folds the leases and orders of one failure domain from one log stream.
package fleet
