package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

//go:embed names.json
var namesFile []byte

// names holds the platform's names and example documents.
var names struct {
	Headers           map[string]string
	Calls             map[string]string
	Topics            map[string]string
	SettingsVariable  string
	Settings          map[string]string
	Registration      map[string]any
	Report            map[string]any
	RegistrationCount string
	ReportOrders      string
	Precondition      string
	Fence             string
	RouteService      string
	RoutePrefix       string
	Configuration     map[string]any
}

func init() {
	if err := json.Unmarshal(namesFile, &names); err != nil {
		panic(err)
	}
}

// clone returns a deep copy of a document.
func clone(document map[string]any) map[string]any {
	encoded, _ := json.Marshal(document)
	var copied map[string]any
	_ = json.Unmarshal(encoded, &copied)
	return copied
}

func encode(document any) []byte {
	encoded, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return encoded
}

// fill replaces {key} in a text.
func fill(text string, values map[string]string) string {
	for key, value := range values {
		text = strings.ReplaceAll(text, "{"+key+"}", value)
	}
	return text
}
