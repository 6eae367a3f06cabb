// Package demo runs entry VMs of several failure domains, with fakes of the platform and the endpoints, in one process on
// loopback.
package demo
