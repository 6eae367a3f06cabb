package settings

import (
	"log/slog"
	"time"
)

// Settings is what an entry process is told at its start.
type Settings struct {
	VM       VM
	Platform Platform
	Limits   Limits
	Control  Control
	Calls    Calls
	Log      Log
}

// VM says who the process is.
type VM struct {
	Name           string
	FailureDomain  string
	Region         string
	CallerAddress  string
	ControlAddress string
}

// Platform says where the platform's services are.
type Platform struct {
	LogService string
	VMList     string
}

// Limits bounds what callers can ask for.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	MaxCalls       int
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration
	WriteTimeout   time.Duration
	// DrainDelay is how long new calls are still taken after readiness is withdrawn.
	DrainDelay  time.Duration
	StopTimeout time.Duration
}

// Control sets the pace of leases, orders and heartbeats.
type Control struct {
	LeaseTerm     time.Duration
	LeaseMargin   time.Duration
	DeliveryBound time.Duration
	Heartbeat     time.Duration
	// SnapshotEvery is how many records of a stream come between snapshots.
	SnapshotEvery int
}

// Calls sets how keyed at-most-once calls are claimed.
type Calls struct {
	Partitions     int
	FlushInterval  time.Duration
	DedupeWindow   time.Duration
	OutcomeBytes   int
	OutcomeTimeout time.Duration
}

// Log sets what is logged.
type Log struct {
	Level slog.Level
}
