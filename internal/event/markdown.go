package event

import (
	"fmt"
	"strings"
)

// Markdown returns the catalogue as a Markdown page, which is kept in docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log line has one of these numbers in its attribute `Event`.\n\n")
	b.WriteString("| Number | Name | Level | Meaning | Action |\n| --- | --- | --- | --- | --- |\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning, e.Action)
	}
	return b.String()
}
