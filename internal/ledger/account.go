package ledger

import "github.com/cowsliparch/cowsliparch/internal/endpoint"

// Status is what a model may be doing at a place.
type Status struct {
	Bytes int64
	// Present tells that the last report shows the model.
	Present bool
	// Ready tells that the last report shows the model ready to serve.
	Ready bool
	// Loading and Unloading tell that an order may still have its effect.
	Loading   bool
	Unloading bool
}

// Certain reports whether the model serves and no open order can take it away.
func (s Status) Certain() bool { return s.Ready && !s.Unloading }

// Account is the memory of one accelerator.
type Account struct {
	CapacityBytes int64
	// ReservedBytes counts all that is, or may yet be, on the accelerator.
	ReservedBytes int64
	Models        map[string]Status
}

// FreeBytes returns what a new load may take.
func (a Account) FreeBytes() int64 { return a.CapacityBytes - a.ReservedBytes }

// Accounts returns the memory of each accelerator of an endpoint under its last report; past tells whether an
// incarnation of the engine is known to be over.
func (l Ledger) Accounts(name string, report endpoint.Report, past func(incarnation string) bool) []Account {
	accounts := make([]Account, len(report.Accelerators))
	for i, accelerator := range report.Accelerators {
		accounts[i] = Account{
			CapacityBytes: accelerator.CapacityBytes,
			Models:        make(map[string]Status),
		}
		for _, loaded := range accelerator.Loaded {
			accounts[i].Models[loaded.Model] = Status{
				Bytes:   loaded.Bytes,
				Present: true,
				Ready:   loaded.Ready,
			}
		}
	}
	for _, o := range l.Open(name) {
		addOpen(accounts, o.Intent)
	}
	for _, settled := range l.book(name).Settled {
		if settled.mayHide(report, past) {
			addSettled(accounts, settled.Intent)
		}
	}
	for i := range accounts {
		for _, status := range accounts[i].Models {
			accounts[i].ReservedBytes += status.Bytes
		}
	}
	return accounts
}

func addOpen(accounts []Account, intent Intent) {
	if intent.Accelerator < 0 || intent.Accelerator >= len(accounts) {
		return
	}
	models := accounts[intent.Accelerator].Models
	status := models[intent.Model]
	switch intent.Action {
	case endpoint.Load:
		status.Loading = true
		status.Bytes = max(status.Bytes, intent.Bytes)
	case endpoint.Unload:
		status.Unloading = true
	}
	models[intent.Model] = status
}

// addSettled counts a load that has had its effect and that an older report doesn't show.
func addSettled(accounts []Account, intent Intent) {
	if intent.Accelerator < 0 || intent.Accelerator >= len(accounts) {
		return
	}
	models := accounts[intent.Accelerator].Models
	status := models[intent.Model]
	if status.Present {
		return
	}
	status.Loading = true
	status.Bytes = max(status.Bytes, intent.Bytes)
	models[intent.Model] = status
}
