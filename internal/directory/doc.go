// Package directory tracks the endpoints of one failure domain and the entry VMs of all.
package directory
