package settings

import (
	"fmt"
	"strings"
)

// Example returns a commented settings file for the entry command, which passes validation.
func Example() string { return example(entryKeys()) }

func example[S any](keys []key[S]) string {
	var b strings.Builder
	section := ""
	for _, k := range keys {
		if k.section != section {
			if section != "" {
				b.WriteString("\n")
			}
			fmt.Fprintf(&b, "[%s]\n", k.section)
			section = k.section
		}
		fmt.Fprintf(&b, "; %s Allowed: %s.\n", k.description, k.allowed)
		if k.required {
			fmt.Fprintf(&b, "%s = %s\n", k.name, k.example)
			continue
		}
		fmt.Fprintf(&b, ";%s = %s\n", k.name, k.example)
	}
	return b.String()
}
