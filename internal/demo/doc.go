// Package demo runs entry VMs of several failure domains and all stand-ins in one process on loopback.
package demo
