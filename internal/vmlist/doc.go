// Package vmlist defines the interface to the platform's list of VMs.
package vmlist
