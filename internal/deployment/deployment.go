package deployment

import (
	"fmt"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
)

// GiB is one gibibyte.
const GiB = int64(1) << 30

// Deployment is the system of one user at its current size.
type Deployment struct {
	Name          string
	Configuration configuration.Configuration
	// EntriesPerDomain is the number of entry VMs in each failure domain.
	EntriesPerDomain int
	ModelService     string
	PlainService     string
	Engine           EngineSpec
}

// EngineSpec is the capacity and speed of one runner's engine.
type EngineSpec struct {
	Slots            int
	PrefillPerSecond float64
	TokenInterval    time.Duration
	LoadTime         time.Duration
}

// UnknownError reports an unknown deployment name.
type UnknownError struct {
	Name string
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown deployment %q: must be \"peplos\" or \"huallaga\"", e.Name)
}

// ByName returns the deployment with a name; it fails with UnknownError.
func ByName(name string) (Deployment, error) {
	switch name {
	case "peplos":
		return Peplos(), nil
	case "huallaga":
		return Huallaga(), nil
	default:
		return Deployment{}, &UnknownError{Name: name}
	}
}

// Peplos returns the deployment of the Peplos Styling and Booking Platform.
func Peplos() Deployment {
	return newDeployment(parameters{
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
		idempotentPath: "/stock",
	})
}

// Huallaga returns the deployment of the Huallaga Refill Routing Tender, whose weight store admits fewer loads per second.
func Huallaga() Deployment {
	return newDeployment(parameters{
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
		idempotentPath: "/orders",
	})
}

type parameters struct {
	name           string
	domains        []string
	modelService   string
	plainService   string
	models         int
	adapters       int
	modelNames     []string
	movePrice      float64
	store          configuration.Store
	idempotentPath string
}

const (
	runnersPerDomain      = 3
	acceleratorsPerRunner = 2
	acceleratorBytes      = 80 * GiB
	smallestModelBytes    = 12 * GiB
	modelSizes            = 4
	modelSizeStep         = 6 * GiB
	adapterBytes          = GiB / 4
	firstTokenTarget      = 1700 * time.Millisecond
	tokenIntervalTarget   = 33 * time.Millisecond
	plainCallTarget       = time.Second
	targetShare           = 0.95
)

func newDeployment(p parameters) Deployment {
	d := Deployment{
		Name:             p.name,
		EntriesPerDomain: 3,
		ModelService:     p.modelService,
		PlainService:     p.plainService,
		Engine: EngineSpec{
			Slots:            64,
			PrefillPerSecond: 20000,
			TokenInterval:    15 * time.Millisecond,
			LoadTime:         500 * time.Millisecond,
		},
	}
	c := &d.Configuration
	c.Store = p.store
	for _, region := range p.domains {
		c.FailureDomains = append(c.FailureDomains, configuration.FailureDomain{
			Name:   region + "-a",
			Region: region,
		})
	}
	c.Services = services(p)
	c.Models = models(p)
	c.Adapters = adapters(p, c.Models)
	c.Presets = presets(p)
	c.Objectives = objectives(p)
	return d
}

func services(p parameters) []configuration.Service {
	model := configuration.Service{
		Name:             p.modelService,
		Kind:             configuration.ModelService,
		Accelerators:     acceleratorsPerRunner,
		AcceleratorBytes: acceleratorBytes,
	}
	plain := configuration.Service{
		Name: p.plainService,
		Kind: configuration.PlainService,
		Idempotent: []configuration.Route{
			{
				Method:     "GET",
				PathPrefix: p.idempotentPath,
			},
		},
	}
	for _, region := range p.domains {
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

func models(p parameters) []configuration.Model {
	var models []configuration.Model
	for i := range p.models {
		kind := i % len(p.modelNames)
		class := configuration.People
		if kind == len(p.modelNames)-1 {
			class = configuration.Batch
		}
		models = append(models, configuration.Model{
			Name:        fmt.Sprintf("%s-%d", p.modelNames[kind], i/len(p.modelNames)+1),
			Service:     p.modelService,
			MemoryBytes: smallestModelBytes + int64(i%modelSizes)*modelSizeStep,
			Class:       class,
		})
	}
	return models
}

func adapters(p parameters, models []configuration.Model) []configuration.Adapter {
	var adapters []configuration.Adapter
	for i := range p.adapters {
		model := models[i%len(models)]
		adapters = append(adapters, configuration.Adapter{
			Name:        fmt.Sprintf("%s-adapter-%d", model.Name, i/len(models)+1),
			Model:       model.Name,
			MemoryBytes: adapterBytes,
		})
	}
	return adapters
}

func presets(p parameters) []configuration.Preset {
	preset := func(name string, replicas int, price float64) configuration.Preset {
		return configuration.Preset{
			Name:      name,
			Replicas:  replicas,
			MovePrice: price,
		}
	}
	return []configuration.Preset{
		preset("ordinary", 2, p.movePrice),
		preset("peak", 3, p.movePrice/2),
		preset("maintenance", 1, 4*p.movePrice),
	}
}

func objectives(p parameters) []configuration.Objective {
	objective := func(service string, class configuration.Class, first, between time.Duration) configuration.Objective {
		return configuration.Objective{
			Service:       service,
			Class:         class,
			FirstToken:    configuration.Duration{Duration: first},
			BetweenTokens: configuration.Duration{Duration: between},
			Share:         targetShare,
		}
	}
	return []configuration.Objective{
		objective(p.modelService, configuration.People, firstTokenTarget, tokenIntervalTarget),
		objective(p.modelService, configuration.Batch, 4*firstTokenTarget, 2*tokenIntervalTarget),
		objective(p.plainService, configuration.People, plainCallTarget, 0),
	}
}
