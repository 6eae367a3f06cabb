package cmdutil

import (
	"encoding/json"
	"io"
)

// WriteJSON writes a value as indented JSON.
func WriteJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
