package settings

import (
	"log/slog"
	"time"
)

// Serving holds the settings of the serve command, which runs an entry VM on the users' platform.
type Serving struct {
	VM       ServingVM
	Platform ServingPlatform
	Limits   ServingLimits
	Control  ServingControl
	Log      Log
}

// ServingVM identifies the VM and sets the addresses on which it listens.
type ServingVM struct {
	Name           string
	FailureDomain  string
	CallerAddress  string
	ReadyAddress   string
	PeerAddress    string
	MetricsAddress string
	// FirstStart is true when the whole system starts for the first time, so that runners are still registering.
	FirstStart bool
	// MemoryMB is the VM's memory in MB, or 0 if it is unknown.
	MemoryMB float64
	// Descriptors is how many descriptors the process may have open, or 0 for the process's own limit.
	Descriptors int
	// LinkMbit is the bandwidth of the VM's network link in Mbit/s, or 0 if it is unknown.
	LinkMbit float64
	// Regions maps each failure domain to its region.
	Regions map[string]string
}

// ServingPlatform holds the address of the platform's store.
type ServingPlatform struct {
	Store string
}

// ServingLimits limits retries and the time that a stop may take.
type ServingLimits struct {
	// RetryRatio is the number of retries allowed per request, and RetrySlack the number allowed beyond that. Both count
	// retries of all VMs within RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// StopTimeout is the time from the stop signal until the process is killed from outside.
	StopTimeout time.Duration
	// Shedding is what decides which requests are refused first when runners lack capacity.
	Shedding Shedding
}

// Shedding is what decides which requests are refused first.
type Shedding string

// The values of Shedding.
const (
	// SheddingByPriority refuses at random all but the most urgent requests.
	SheddingByPriority Shedding = "Priority"
	// SheddingByCost delays or refuses the requests whose loss costs callers least.
	SheddingByCost Shedding = "Cost"
)

// ServingControl sets the term of the lease under which a VM sends orders to runners, and how soon changes take effect.
type ServingControl struct {
	LeaseTerm time.Duration
	// DrainWithin is the time within which no VM may send requests to a runner that leaves, ConfigurationWithin the time within
	// which a new configuration must be in force on each VM, both from when the store accepts the change.
	DrainWithin         time.Duration
	ConfigurationWithin time.Duration
}

// ChangeWithin is the shorter of the two.
func (c ServingControl) ChangeWithin() time.Duration {
	return min(c.DrainWithin, c.ConfigurationWithin)
}

// ReadServing returns the serve settings in a file, or the same errors as Read.
func ReadServing(path string) (Serving, error) { return read(path, ParseServing) }

// ParseServing returns the serve settings in the content of a file, whose path appears in errors only.
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

// ServingExample returns a commented settings file for the serve command, which passes validation.
func ServingExample() string { return example(servingKeys()) }

func servingKeys() []key[Serving] {
	keys := servingVMKeys()
	keys = append(keys, servingLimitKeys()...)
	return append(keys, key[Serving]{
		section:     "Log",
		name:        "Level",
		example:     "INFO",
		allowed:     "DEBUG, INFO, WARN or ERROR",
		description: "The lowest level of events that are logged.",
		set:         logLevel(func(s *Serving) *slog.Level { return &s.Log.Level }),
	})
}

func servingVMKeys() []key[Serving] {
	addressKey := func(name, example, description string, field func(*Serving) *string) key[Serving] {
		return key[Serving]{
			section:     "VM",
			name:        name,
			example:     example,
			required:    true,
			allowed:     addressAllowed,
			description: description,
			set:         ipAndPort(field),
		}
	}
	return []key[Serving]{
		{
			section:     "VM",
			name:        "Name",
			example:     "entry-1",
			required:    true,
			allowed:     nameAllowed,
			description: "The name of this VM.",
			set:         nonEmpty(func(s *Serving) *string { return &s.VM.Name }),
		},
		{
			section:     "VM",
			name:        "FailureDomain",
			example:     "attica-a",
			required:    true,
			allowed:     nameAllowed,
			description: "The failure domain of this VM.",
			set:         nonEmpty(func(s *Serving) *string { return &s.VM.FailureDomain }),
		},
		addressKey("CallerAddress", "127.0.0.1:8080", "The address that serves callers.", func(s *Serving) *string { return &s.VM.CallerAddress }),
		addressKey("ReadyAddress", "127.0.0.1:8082", "The address that answers the load balancer's readiness checks.", func(s *Serving) *string { return &s.VM.ReadyAddress }),
		addressKey("PeerAddress", "127.0.0.1:8083", "The address that other entry VMs connect to.", func(s *Serving) *string { return &s.VM.PeerAddress }),
		addressKey("MetricsAddress", "127.0.0.1:9464", "The address that serves metrics.", func(s *Serving) *string { return &s.VM.MetricsAddress }),
		{
			section:     "VM",
			name:        "Regions",
			example:     "attica-a:attica,crete-a:crete",
			required:    true,
			allowed:     "failure domains with their regions, such as attica-a:attica,crete-a:crete",
			description: "The region of each failure domain.",
			set:         stringMap(func(s *Serving) *map[string]string { return &s.VM.Regions }),
		},
		{
			section:     "VM",
			name:        "FirstStart",
			example:     "true",
			allowed:     "true or false",
			description: "Whether this is the first start of the whole system.",
			set:         boolean(func(s *Serving) *bool { return &s.VM.FirstStart }),
		},
		{
			section:     "VM",
			name:        "MemoryMB",
			example:     "284",
			allowed:     between(0, 10000000),
			description: "The memory of this VM in MB; it limits what the process holds of requests and responses.",
			set:         decimal(func(s *Serving) *float64 { return &s.VM.MemoryMB }, 0, 10000000),
		},
		{
			section:     "VM",
			name:        "Descriptors",
			example:     "3075",
			allowed:     between(0, 1000000),
			description: "How many descriptors the process may have open; it limits callers' connections. 0 is the process's own limit.",
			set:         integer(func(s *Serving) *int { return &s.VM.Descriptors }, 0, 1000000),
		},
		{
			section:     "VM",
			name:        "LinkMbit",
			example:     "1000",
			allowed:     between(0, 1000000),
			description: "The bandwidth of this VM's network link in Mbit/s; a VM with a slow link leaves the order lease to other VMs.",
			set:         decimal(func(s *Serving) *float64 { return &s.VM.LinkMbit }, 0, 1000000),
		},
		{
			section:     "Platform",
			name:        "Store",
			example:     "127.0.0.1:7000",
			required:    true,
			allowed:     addressAllowed,
			description: "The address of the platform's store.",
			set:         ipAndPort(func(s *Serving) *string { return &s.Platform.Store }),
		},
	}
}

func servingLimitKeys() []key[Serving] {
	return []key[Serving]{
		{
			section:     "Limits",
			name:        "RetryRatio",
			example:     "0.2",
			allowed:     between(0, 1),
			description: "Retries allowed per request, counted over all VMs.",
			set:         decimal(func(s *Serving) *float64 { return &s.Limits.RetryRatio }, 0, 1),
		},
		{
			section:     "Limits",
			name:        "RetrySlack",
			example:     "50",
			allowed:     between(0, 100000),
			description: "Retries allowed beyond the ratio in one window, counted over all VMs.",
			set:         decimal(func(s *Serving) *float64 { return &s.Limits.RetrySlack }, 0, 100000),
		},
		{
			section:     "Limits",
			name:        "RetryWindow",
			example:     "10s",
			allowed:     between("1s", "10m"),
			description: "The sliding window in which retries are counted.",
			set:         duration(func(s *Serving) *time.Duration { return &s.Limits.RetryWindow }, time.Second, 10*time.Minute),
		},
		{
			section:     "Limits",
			name:        "StopTimeout",
			example:     "8s",
			allowed:     between("1s", "24h"),
			description: "The time from the stop signal until the process is killed from outside.",
			set:         duration(func(s *Serving) *time.Duration { return &s.Limits.StopTimeout }, time.Second, 24*time.Hour),
		},
		{
			section:     "Limits",
			name:        "Shedding",
			example:     string(SheddingByPriority),
			allowed:     "Priority or Cost",
			description: "What decides which requests are refused first when runners lack capacity; Cost also delays requests that can wait.",
			set: func(s *Serving, value string) bool {
				s.Limits.Shedding = Shedding(value)
				return s.Limits.Shedding == SheddingByPriority || s.Limits.Shedding == SheddingByCost
			},
		},
		{
			section:     "Control",
			name:        "LeaseTerm",
			example:     "3s",
			allowed:     between("1s", "10m"),
			description: "How long the order lease lasts without renewal.",
			set:         duration(func(s *Serving) *time.Duration { return &s.Control.LeaseTerm }, time.Second, 10*time.Minute),
		},
		{
			section:     "Control",
			name:        "DrainWithin",
			example:     "3s",
			allowed:     between("2s", "10m"),
			description: "The time within which no VM sends requests to a runner that leaves.",
			set:         duration(func(s *Serving) *time.Duration { return &s.Control.DrainWithin }, 2*time.Second, 10*time.Minute),
		},
		{
			section:     "Control",
			name:        "ConfigurationWithin",
			example:     "3s",
			allowed:     between("2s", "10m"),
			description: "The time within which a new configuration is in force on each VM.",
			set:         duration(func(s *Serving) *time.Duration { return &s.Control.ConfigurationWithin }, 2*time.Second, 10*time.Minute),
		},
	}
}
