package configuration

import "fmt"

// PresetError reports a preset that the configuration does not have.
type PresetError struct {
	Preset string
}

// Error implements error.
func (e *PresetError) Error() string {
	return fmt.Sprintf("no preset %q in the configuration", e.Preset)
}
