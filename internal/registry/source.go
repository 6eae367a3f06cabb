package registry

import (
	"context"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// Skipped is a record that could not be understood.
type Skipped struct {
	Key    string
	Offset logservice.Offset
	Reason error
}

// Configuration is a read of the operators' configuration.
type Configuration struct {
	// Catalog is nil when no configuration was read.
	Catalog *catalog.Catalog
	// Encoded is the configuration as it lies in the store, for peers that can't read it.
	Encoded []byte
	Next    logservice.Offset
	Skipped []Skipped
}

// Runners is a read of the registrations of runners.
type Runners struct {
	Changes []roster.Change
	Next    logservice.Offset
	Skipped []Skipped
}

// Source is the platform's store as the product reads it. Every method fails with logservice.UnavailableError, and the
// methods that follow on from an offset also with logservice.ExpiredError.
type Source interface {
	Configuration(ctx context.Context) (Configuration, error)
	ConfigurationAfter(ctx context.Context, from logservice.Offset, wait time.Duration) (Configuration, error)
	DecodeConfiguration(encoded []byte) (*catalog.Catalog, error)
	// Runners returns every registration.
	Runners(ctx context.Context) (Runners, error)
	RunnersAfter(ctx context.Context, from logservice.Offset, wait time.Duration) (Runners, error)
}
