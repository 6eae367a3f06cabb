package vmlist

import "context"

// Role is the role of a VM in the system.
type Role string

// State is the lifecycle state of a VM, as reported by the platform.
type State string

// The roles and states of VMs.
const (
	EntryRole    Role  = "Entry"
	EndpointRole Role  = "Endpoint"
	Live         State = "Live"
	Leaving      State = "Leaving"
)

// VM is one entry of the list.
type VM struct {
	Name          string
	Address       string
	Role          Role
	Service       string
	FailureDomain string
	Region        string
	State         State
}

// List is the platform's list of VMs, which may be out of date.
type List interface {
	// VMs returns all VMs, or UnavailableError.
	VMs(ctx context.Context) ([]VM, error)
}

// UnavailableError reports that the list could not be read.
type UnavailableError struct {
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string { return "VM list is unavailable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
