package mesh

import (
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/orders"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// Member is an entry VM.
type Member struct {
	Name          string
	Address       string
	FailureDomain string
	Incarnation   string
	// Slow tells that the VM's link can hardly carry what a holder sends.
	Slow bool `cbor:",omitempty"`
}

// frame is one message on a link; one field is set.
type frame struct {
	Hello   *Member       `cbor:",omitempty"`
	Demand  []orders.Rate `cbor:",omitempty"`
	Missing *missing      `cbor:",omitempty"`
	Ask     *ask          `cbor:",omitempty"`
	Pulse   *pulse        `cbor:",omitempty"`
	Holding []holding     `cbor:",omitempty"`
	// Configuration is in the store's own form.
	Configuration []byte          `cbor:",omitempty"`
	Runners       []roster.Runner `cbor:",omitempty"`
	// Changes is what the holder read of single registrations.
	Changes []roster.Change `cbor:",omitempty"`
	// Account is what the sender has at the runners.
	Account *account `cbor:",omitempty"`
	// Occupancy is the requests that all VMs together have at the runners, from the holder.
	Occupancy roster.Occupancy `cbor:",omitempty"`
}

type holding = orders.Holding

// account is the requests of one VM at the runners, and what they use there.
type account struct {
	// Version is the configuration in force at the sender.
	Version   uint64
	Occupancy roster.Occupancy
	Uses      []roster.Use `cbor:",omitempty"`
}

type missing struct {
	Service string
	Model   string
	Adapter string
}

// ask asks for what the sender can't read from the store.
type ask struct {
	// Version is the configuration that the sender has.
	Version uint64
	Runners bool
}

// pulse tells that the sender is alive, and what it is.
type pulse struct {
	// Holds tells that the sender holds the lease for orders.
	Holds bool
	// Version is the configuration in force at the sender.
	Version uint64
	// Members lists the VMs linked to the holder, itself included; it is left out while it is as told before.
	Members []Member `cbor:",omitempty"`
	// StoreOut tells that the sender can't read the registrations from the store.
	StoreOut bool `cbor:",omitempty"`
	// Lease is how far the sender has read the stream of the lease.
	Lease logservice.Offset
	// Resigned is the fencing number of a tenure that the sender gave up without being able to record it.
	Resigned uint64 `cbor:",omitempty"`
}
