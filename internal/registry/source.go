package registry

import (
	"context"
	"time"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/logservice"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

// SkippedRecord is a record that could not be decoded.
type SkippedRecord struct {
	Key    string
	Offset logservice.Offset
	Reason error
}

// Configuration is the result of reading the operators' configuration.
type Configuration struct {
	// Catalog is nil when no configuration was read.
	Catalog *catalog.Catalog
	// Encoded is the configuration as stored, for peers that can't read the store.
	Encoded []byte
	// Next is the position of the next read.
	Next    logservice.Position
	Skipped []SkippedRecord
}

// Runners is the result of reading the runner registrations.
type Runners struct {
	Changes []roster.Change
	Next    logservice.Position
	Skipped []SkippedRecord
}

// Source reads the platform's store. Every read fails with logservice.UnavailableError if the store does not answer, and the
// reads from a position also with logservice.ExpiredError if the records at that position are gone, and with
// logservice.EraChangedError if the store was restored from a copy since.
type Source interface {
	// Configuration returns the newest configuration.
	Configuration(ctx context.Context) (Configuration, error)
	// ConfigurationAfter returns the newest configuration from a position on, waiting up to wait for one.
	ConfigurationAfter(ctx context.Context, from logservice.Position, wait time.Duration) (Configuration, error)
	// DecodeConfiguration decodes a configuration as stored.
	DecodeConfiguration(encoded []byte) (*catalog.Catalog, error)
	// Runners returns all registrations.
	Runners(ctx context.Context) (Runners, error)
	// RunnersAfter returns the changes of registrations from a position on, waiting up to wait for one.
	RunnersAfter(ctx context.Context, from logservice.Position, wait time.Duration) (Runners, error)
}
