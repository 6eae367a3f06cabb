package settings

import (
	"log/slog"
	"time"
)

// Settings holds the settings of the entry command.
type Settings struct {
	VM       VM
	Platform Platform
	Limits   Limits
	Control  Control
	Calls    Calls
	Log      Log
}

// VM identifies the VM and sets the addresses on which it listens.
type VM struct {
	Name           string
	FailureDomain  string
	Region         string
	CallerAddress  string
	ControlAddress string
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	LogService string
	VMList     string
}

// Limits bounds requests, the calls in flight and the time that a stop may take.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	MaxCalls       int
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration
	WriteTimeout   time.Duration
	// DrainDelay is how long new calls are still accepted after readiness is withdrawn.
	DrainDelay  time.Duration
	StopTimeout time.Duration
}

// Control sets the timing of leases, orders, heartbeats and snapshots.
type Control struct {
	LeaseTerm     time.Duration
	LeaseMargin   time.Duration
	DeliveryBound time.Duration
	Heartbeat     time.Duration
	// SnapshotEvery is the number of records between two snapshots of a stream.
	SnapshotEvery int
}

// Calls configures the claims and the recorded outcomes of keyed calls, which run at most once.
type Calls struct {
	Partitions     int
	FlushInterval  time.Duration
	DedupeWindow   time.Duration
	OutcomeBytes   int
	OutcomeTimeout time.Duration
}

// Log configures logging.
type Log struct {
	Level slog.Level
}
