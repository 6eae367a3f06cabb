package configcheck

import (
	"strconv"
	"strings"
	"unicode"
)

// maxNameLength limits the characters of a name or value that are shown.
const maxNameLength = 120

// EntryName returns the name of an entry of a kind, such as "route chat"; index is its place in its list, from 0, which stands for a
// missing name.
func EntryName(kind, name string, index int) string {
	if name == "" {
		return kind + " number " + strconv.Itoa(index+1)
	}
	return kind + " " + Printable(name)
}

// Printable returns a text of the configuration in a form that can't disturb a terminal or fill it; it is quoted if need be.
func Printable(text string) string {
	text = shorten(text)
	if strings.ContainsFunc(text, func(r rune) bool { return !unicode.IsPrint(r) || r == unicode.ReplacementChar }) {
		return strconv.QuoteToGraphic(text)
	}
	return text
}

// Quote returns a text of the configuration in quotes, as Printable does it.
func Quote(text string) string { return strconv.QuoteToGraphic(shorten(text)) }

func shorten(text string) string {
	if runes := []rune(text); len(runes) > maxNameLength {
		return string(runes[:maxNameLength]) + "..."
	}
	return text
}
