package fakevmlist

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/vmlist"
)

// List is an in-memory VM list that implements vmlist.List without HTTP.
type List struct {
	mu     sync.Mutex
	vms    []vmlist.VM
	outage bool
}

// New returns a list that contains the given VMs.
func New(vms ...vmlist.VM) *List {
	return &List{
		vms: vms,
	}
}

// Put adds a VM or replaces the one with the same name.
func (l *List) Put(vm vmlist.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = slices.DeleteFunc(slices.Clone(l.vms), func(other vmlist.VM) bool { return other.Name == vm.Name })
	l.vms = append(l.vms, vm)
}

// Remove removes a VM from the list by name.
func (l *List) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = slices.DeleteFunc(slices.Clone(l.vms), func(vm vmlist.VM) bool { return vm.Name == name })
}

// SetOutage makes every read of the list fail, or ends the outage.
func (l *List) SetOutage(outage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = outage
}

// VMs implements vmlist.List.
func (l *List) VMs(context.Context) ([]vmlist.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return nil, &vmlist.UnavailableError{Cause: &logservice.StatusError{Status: http.StatusServiceUnavailable}}
	}
	return slices.Clone(l.vms), nil
}

// Handler serves the list over HTTP.
func (l *List) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		vms, err := l.VMs(r.Context())
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_ = json.NewEncoder(w).Encode(vms)
	})
}
