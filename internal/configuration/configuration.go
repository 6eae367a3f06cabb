package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Configuration is the complete configuration, which operators publish as one document.
type Configuration struct {
	FailureDomains []FailureDomain
	Models         []Model
	Adapters       []Adapter `json:",omitempty"`
	Services       []Service
	Presets        []Preset
	Objectives     []Objective `json:",omitempty"`
	Store          Store

	// modelsByName maps the names of models and adapters to models. Only Decode sets it; without it, Model searches the lists.
	modelsByName map[string]Model
}

// FailureDomain is a group of VMs that fail together.
type FailureDomain struct {
	Name   string
	Region string
}

// DocumentError reports a configuration document that could not be decoded or encoded.
type DocumentError struct {
	Cause error
}

// Error implements error.
func (e *DocumentError) Error() string { return fmt.Sprintf("configuration document: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DocumentError) Unwrap() error { return e.Cause }

// Decode parses a JSON document. It fails with DocumentError, also on unknown fields.
func Decode(document []byte) (Configuration, error) {
	var c Configuration
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		return Configuration{}, &DocumentError{Cause: err}
	}
	c.modelsByName = c.indexModels()
	return c, nil
}

// indexModels maps the names of models and adapters to the models that serve them.
func (c Configuration) indexModels() map[string]Model {
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

// Model returns the model with the given name, or the base model of the adapter with that name.
func (c Configuration) Model(name string) (Model, bool) {
	if c.modelsByName != nil {
		model, ok := c.modelsByName[name]
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

// ReplicaBytes returns the accelerator memory that one replica of a model needs, including all of its adapters.
func (c Configuration) ReplicaBytes(model Model) int64 {
	total := model.MemoryBytes
	for _, adapter := range c.Adapters {
		if adapter.Model == model.Name {
			total += adapter.MemoryBytes
		}
	}
	return total
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
