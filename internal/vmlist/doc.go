// Package vmlist defines what the system needs of the platform's list of VMs.
package vmlist
