package configuration

import "fmt"

// PresetError reports a preset name that the configuration does not define.
type PresetError struct {
	Preset string
}

// Error implements error.
func (e *PresetError) Error() string {
	return fmt.Sprintf("no preset %q in the configuration", e.Preset)
}
