package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Configuration is everything that operators publish as one document.
type Configuration struct {
	FailureDomains []FailureDomain
	Models         []Model
	Adapters       []Adapter `json:",omitempty"`
	Services       []Service
	Presets        []Preset
	Objectives     []Objective `json:",omitempty"`
	Store          Store

	// index finds models by name; a configuration that was not decoded has none and is searched.
	index map[string]Model
}

// FailureDomain is a group of VMs that fail together.
type FailureDomain struct {
	Name   string
	Region string
}

// DocumentError reports a document that is not a configuration.
type DocumentError struct {
	Cause error
}

// Error implements error.
func (e *DocumentError) Error() string { return fmt.Sprintf("configuration document: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DocumentError) Unwrap() error { return e.Cause }

// Decode reads a JSON document and refuses unknown fields with DocumentError.
func Decode(document []byte) (Configuration, error) {
	var c Configuration
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		return Configuration{}, &DocumentError{Cause: err}
	}
	c.index = c.newIndex()
	return c, nil
}

// newIndex maps the names of models and adapters to the models that serve them.
func (c Configuration) newIndex() map[string]Model {
	index := make(map[string]Model, len(c.Models)+len(c.Adapters))
	for _, model := range c.Models {
		index[model.Name] = model
	}
	for _, adapter := range c.Adapters {
		if model, ok := index[adapter.Model]; ok {
			index[adapter.Name] = model
		}
	}
	return index
}

// Encode returns the JSON document of a configuration.
func (c Configuration) Encode() ([]byte, error) {
	document, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		return nil, &DocumentError{Cause: err}
	}
	return document, nil
}

// Model returns the model that a name stands for, directly or as an adapter.
func (c Configuration) Model(name string) (Model, bool) {
	if c.index != nil {
		model, ok := c.index[name]
		return model, ok
	}
	for _, adapter := range c.Adapters {
		if adapter.Name == name {
			name = adapter.Model
			break
		}
	}
	for _, model := range c.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// ReplicaBytes returns what one replica of a model takes of an accelerator, with all of its adapters.
func (c Configuration) ReplicaBytes(model Model) int64 {
	bytes := model.MemoryBytes
	for _, adapter := range c.Adapters {
		if adapter.Model == model.Name {
			bytes += adapter.MemoryBytes
		}
	}
	return bytes
}

// Region returns the region of a failure domain.
func (c Configuration) Region(domain string) (string, bool) {
	for _, d := range c.FailureDomains {
		if d.Name == domain {
			return d.Region, true
		}
	}
	return "", false
}

// Service returns a service by name.
func (c Configuration) Service(name string) (Service, bool) {
	for _, service := range c.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// Preset returns a preset by name.
func (c Configuration) Preset(name string) (Preset, bool) {
	for _, preset := range c.Presets {
		if preset.Name == name {
			return preset, true
		}
	}
	return Preset{}, false
}

// Objective returns the objective of a service and class.
func (c Configuration) Objective(service string, class Class) (Objective, bool) {
	for _, objective := range c.Objectives {
		if objective.Service == service && objective.Class == class {
			return objective, true
		}
	}
	return Objective{}, false
}
