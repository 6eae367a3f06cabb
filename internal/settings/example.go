package settings

import (
	"fmt"
	"strings"
)

// Example returns a commented settings file that passes the check.
func Example() string { return example(keys()) }

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
		fmt.Fprintf(&b, "; %s Allowed: %s.\n", k.meaning, k.allowed)
		if k.required {
			fmt.Fprintf(&b, "%s = %s\n", k.name, k.example)
			continue
		}
		fmt.Fprintf(&b, ";%s = %s\n", k.name, k.example)
	}
	return b.String()
}
