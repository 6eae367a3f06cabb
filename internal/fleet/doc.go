// Package fleet builds the leases and orders of one failure domain from the records of one log stream.
package fleet
