package event

import (
	"fmt"
	"strings"
)

// Markdown returns the catalogue as the table kept in docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log line carries one of these numbers in the attribute `Event`.\n\n")
	b.WriteString("| Number | Name | Level | Meaning | What to do |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning, e.Action)
	}
	return b.String()
}
