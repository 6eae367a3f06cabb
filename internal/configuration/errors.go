package configuration

import "fmt"

// UnknownPresetError reports a preset name that the configuration does not define.
type UnknownPresetError struct {
	Preset string
}

// Error implements error.
func (e *UnknownPresetError) Error() string {
	return fmt.Sprintf("no preset %q in the configuration", e.Preset)
}
