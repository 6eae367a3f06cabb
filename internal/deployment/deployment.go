package deployment

import (
	"fmt"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// GiB is one gibibyte.
const GiB = int64(1) << 30

// Deployment is one user's system at today's size.
type Deployment struct {
	Name          string
	Configuration configuration.Configuration
	// EntriesPerDomain is how many entry VMs each failure domain has.
	EntriesPerDomain int
	ModelService     string
	PlainService     string
	Engine           EngineSize
}

// EngineSize is what one runner can do.
type EngineSize struct {
	Slots            int
	PrefillPerSecond float64
	TokenInterval    time.Duration
	LoadTime         time.Duration
}

// UnknownError reports a deployment that does not exist.
type UnknownError struct {
	Name string
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("no deployment %q: there are \"peplos\" and \"huallaga\"", e.Name)
}

// Named returns a deployment by name or UnknownError.
func Named(name string) (Deployment, error) {
	switch name {
	case "peplos":
		return Peplos(), nil
	case "huallaga":
		return Huallaga(), nil
	default:
		return Deployment{}, &UnknownError{Name: name}
	}
}

// Peplos returns the Peplos Styling and Booking Platform.
func Peplos() Deployment {
	return build(size{
		name:         "peplos",
		domains:      []string{"attica", "macedonia", "crete"},
		modelService: "atelier-models",
		plainService: "booking-desk",
		models:       17,
		adapters:     58,
		modelNames:   []string{"gown-advice", "suit-advice", "fitting-answers", "garment-tags"},
		movePrice:    1,
		store: configuration.Store{
			LoadsPerSecond:   2,
			LoadsAtOnce:      3,
			AdaptersInFlight: 24,
		},
		idempotent: "/stock",
	})
}

// Huallaga returns the Huallaga Refill Routing Tender, whose store admits fewer loads.
func Huallaga() Deployment {
	return build(size{
		name:         "huallaga",
		domains:      []string{"lima", "arequipa", "trujillo"},
		modelService: "asistente",
		plainService: "pedidos",
		models:       18,
		adapters:     41,
		modelNames:   []string{"refill-quotes", "fabric-advice", "clerk-answers", "repair-tags"},
		movePrice:    4,
		store: configuration.Store{
			LoadsPerSecond:   1.4,
			LoadsAtOnce:      4,
			AdaptersInFlight: 32,
		},
		idempotent: "/orders",
	})
}

type size struct {
	name         string
	domains      []string
	modelService string
	plainService string
	models       int
	adapters     int
	modelNames   []string
	movePrice    float64
	store        configuration.Store
	idempotent   string
}

const (
	runnersPerDomain = 3
	accelerators     = 2
	acceleratorBytes = 80 * GiB
	smallModelBytes  = 12 * GiB
	modelByteSteps   = 4
	modelByteStep    = 6 * GiB
	adapterBytes     = GiB / 4
	firstTokenBound  = 1700 * time.Millisecond
	tokenBound       = 33 * time.Millisecond
	serviceBound     = time.Second
	attainedShare    = 0.95
)

func build(s size) Deployment {
	d := Deployment{
		Name:             s.name,
		EntriesPerDomain: 3,
		ModelService:     s.modelService,
		PlainService:     s.plainService,
		Engine: EngineSize{
			Slots:            64,
			PrefillPerSecond: 20000,
			TokenInterval:    15 * time.Millisecond,
			LoadTime:         500 * time.Millisecond,
		},
	}
	c := &d.Configuration
	c.Store = s.store
	for _, region := range s.domains {
		c.FailureDomains = append(c.FailureDomains, configuration.FailureDomain{
			Name:   region + "-a",
			Region: region,
		})
	}
	c.Services = services(s)
	c.Models = models(s)
	c.Adapters = adapters(s, c.Models)
	c.Presets = presets(s)
	c.Objectives = objectives(s)
	return d
}

func services(s size) []configuration.Service {
	model := configuration.Service{
		Name:             s.modelService,
		Kind:             configuration.ModelService,
		Accelerators:     accelerators,
		AcceleratorBytes: acceleratorBytes,
	}
	plain := configuration.Service{
		Name: s.plainService,
		Kind: configuration.PlainService,
		Idempotent: []configuration.Route{
			{
				Method:     "GET",
				PathPrefix: s.idempotent,
			},
		},
	}
	for _, region := range s.domains {
		model.Presence = append(model.Presence, configuration.Presence{
			FailureDomain: region + "-a",
			Runners:       runnersPerDomain,
		})
		plain.Presence = append(plain.Presence, configuration.Presence{
			FailureDomain: region + "-a",
			Runners:       1,
		})
	}
	return []configuration.Service{model, plain}
}

func models(s size) []configuration.Model {
	var models []configuration.Model
	for i := range s.models {
		kind := i % len(s.modelNames)
		class := configuration.People
		if kind == len(s.modelNames)-1 {
			class = configuration.Batch
		}
		models = append(models, configuration.Model{
			Name:        fmt.Sprintf("%s-%d", s.modelNames[kind], i/len(s.modelNames)+1),
			Service:     s.modelService,
			MemoryBytes: smallModelBytes + int64(i%modelByteSteps)*modelByteStep,
			Class:       class,
		})
	}
	return models
}

func adapters(s size, models []configuration.Model) []configuration.Adapter {
	var adapters []configuration.Adapter
	for i := range s.adapters {
		model := models[i%len(models)]
		adapters = append(adapters, configuration.Adapter{
			Name:        fmt.Sprintf("%s-adapter-%d", model.Name, i/len(models)+1),
			Model:       model.Name,
			MemoryBytes: adapterBytes,
		})
	}
	return adapters
}

func presets(s size) []configuration.Preset {
	preset := func(name string, replicas int, price float64) configuration.Preset {
		return configuration.Preset{
			Name:      name,
			Replicas:  replicas,
			MovePrice: price,
		}
	}
	return []configuration.Preset{
		preset("ordinary", 2, s.movePrice),
		preset("peak", 3, s.movePrice/2),
		preset("maintenance", 1, 4*s.movePrice),
	}
}

func objectives(s size) []configuration.Objective {
	objective := func(service string, class configuration.Class, first, between time.Duration) configuration.Objective {
		return configuration.Objective{
			Service:       service,
			Class:         class,
			FirstToken:    configuration.Duration{Duration: first},
			BetweenTokens: configuration.Duration{Duration: between},
			Share:         attainedShare,
		}
	}
	return []configuration.Objective{
		objective(s.modelService, configuration.People, firstTokenBound, tokenBound),
		objective(s.modelService, configuration.Batch, 4*firstTokenBound, 2*tokenBound),
		objective(s.plainService, configuration.People, serviceBound, 0),
	}
}
