package settings

import (
	"log/slog"
	"time"
)

// Serving is what the process of an entry VM on the users' platform is told at its start.
type Serving struct {
	VM       ServingVM
	Platform ServingPlatform
	Limits   ServingLimits
	Control  ServingControl
	Log      Log
}

// ServingVM says who the process is and where it listens.
type ServingVM struct {
	Name          string
	FailureDomain string
	CallerAddress string
	ReadyAddress  string
	PeerAddress   string
	// MetricsAddress is where metrics are answered.
	MetricsAddress string
	// FirstStart tells that the whole system starts for the first time, so that runners are still registering.
	FirstStart bool
	// LinkMbit is how much the VM's link carries, in Mbit/s; zero if that is not known.
	LinkMbit float64
	// Regions is the region of each failure domain.
	Regions map[string]string
}

// ServingPlatform says where the platform's store is.
type ServingPlatform struct {
	Store string
}

// ServingLimits bounds what requests and stops may take.
type ServingLimits struct {
	// RetryRatio is further sends for each request, RetrySlack what may come on top, over all VMs in RetryWindow.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow time.Duration
	// StopTimeout is the time from the signal to stop to the end of the process.
	StopTimeout time.Duration
}

// ServingControl sets the lease for orders.
type ServingControl struct {
	LeaseTerm time.Duration
}

// ReadServing returns the settings in a file; it fails like Read.
func ReadServing(path string) (Serving, error) { return read(path, ParseServing) }

// ParseServing returns the settings in the content of a file.
func ParseServing(path string, content []byte) (Serving, error) {
	s, faults, err := decode(path, content, servingKeys())
	if err != nil {
		return Serving{}, err
	}
	if len(faults) > 0 {
		return Serving{}, &InvalidError{Path: path, Faults: faults}
	}
	return s, nil
}

// ServingExample returns a commented settings file that passes the check.
func ServingExample() string { return example(servingKeys()) }

func servingKeys() []key[Serving] {
	keys := servingVMKeys()
	keys = append(keys, servingLimitKeys()...)
	return append(keys, key[Serving]{
		section: "Log",
		name:    "Level",
		example: "INFO",
		allowed: "DEBUG, INFO, WARN or ERROR",
		meaning: "The least level of events that are logged.",
		set:     level(func(s *Serving) *slog.Level { return &s.Log.Level }),
	})
}

func servingVMKeys() []key[Serving] {
	addressKey := func(name, example, meaning string, field func(*Serving) *string) key[Serving] {
		return key[Serving]{
			section:  "VM",
			name:     name,
			example:  example,
			required: true,
			allowed:  addressAllowed,
			meaning:  meaning,
			set:      address(field),
		}
	}
	return []key[Serving]{
		{
			section:  "VM",
			name:     "Name",
			example:  "entry-1",
			required: true,
			allowed:  nameAllowed,
			meaning:  "The name of this VM.",
			set:      text(func(s *Serving) *string { return &s.VM.Name }),
		},
		{
			section:  "VM",
			name:     "FailureDomain",
			example:  "attica-a",
			required: true,
			allowed:  nameAllowed,
			meaning:  "The failure domain of this VM.",
			set:      text(func(s *Serving) *string { return &s.VM.FailureDomain }),
		},
		addressKey("CallerAddress", "127.0.0.1:8080", "Where callers are answered.", func(s *Serving) *string { return &s.VM.CallerAddress }),
		addressKey("ReadyAddress", "127.0.0.1:8082", "Where the balancer asks for readiness.", func(s *Serving) *string { return &s.VM.ReadyAddress }),
		addressKey("PeerAddress", "127.0.0.1:8083", "Where other entry VMs are answered.", func(s *Serving) *string { return &s.VM.PeerAddress }),
		addressKey("MetricsAddress", "127.0.0.1:9464", "Where metrics are answered.", func(s *Serving) *string { return &s.VM.MetricsAddress }),
		{
			section:  "VM",
			name:     "Regions",
			example:  "attica-a:attica,crete-a:crete",
			required: true,
			allowed:  "failure domains with their regions, such as attica-a:attica,crete-a:crete",
			meaning:  "The region of each failure domain.",
			set:      pairs(func(s *Serving) *map[string]string { return &s.VM.Regions }),
		},
		{
			section: "VM",
			name:    "FirstStart",
			example: "true",
			allowed: "true or false",
			meaning: "Whether the whole system starts for the first time.",
			set:     truth(func(s *Serving) *bool { return &s.VM.FirstStart }),
		},
		{
			section: "VM",
			name:    "LinkMbit",
			example: "1000",
			allowed: between(0, 1000000),
			meaning: "What this VM's link carries, in Mbit/s; a VM with a slow one leaves the lease for orders to others.",
			set:     fraction(func(s *Serving) *float64 { return &s.VM.LinkMbit }, 0, 1000000),
		},
		{
			section:  "Platform",
			name:     "Store",
			example:  "127.0.0.1:7000",
			required: true,
			allowed:  addressAllowed,
			meaning:  "The platform's store.",
			set:      address(func(s *Serving) *string { return &s.Platform.Store }),
		},
	}
}

func servingLimitKeys() []key[Serving] {
	return []key[Serving]{
		{
			section: "Limits",
			name:    "RetryRatio",
			example: "0.2",
			allowed: between(0, 1),
			meaning: "Further sends for each request, over all VMs.",
			set:     fraction(func(s *Serving) *float64 { return &s.Limits.RetryRatio }, 0, 1),
		},
		{
			section: "Limits",
			name:    "RetrySlack",
			example: "50",
			allowed: between(0, 100000),
			meaning: "Further sends beyond the ratio in one window, over all VMs.",
			set:     whole(func(s *Serving) *int { return &s.Limits.RetrySlack }, 0, 100000),
		},
		{
			section: "Limits",
			name:    "RetryWindow",
			example: "10s",
			allowed: between("1s", "10m"),
			meaning: "The sliding window in which further sends are counted.",
			set:     duration(func(s *Serving) *time.Duration { return &s.Limits.RetryWindow }, time.Second, 10*time.Minute),
		},
		{
			section: "Limits",
			name:    "StopTimeout",
			example: "8s",
			allowed: between("1s", "24h"),
			meaning: "The time from the signal to stop until the process is ended from outside.",
			set:     duration(func(s *Serving) *time.Duration { return &s.Limits.StopTimeout }, time.Second, 24*time.Hour),
		},
		{
			section: "Control",
			name:    "LeaseTerm",
			example: "3s",
			allowed: between("1s", "10m"),
			meaning: "How long the lease for orders holds without renewal.",
			set:     duration(func(s *Serving) *time.Duration { return &s.Control.LeaseTerm }, time.Second, 10*time.Minute),
		},
	}
}
