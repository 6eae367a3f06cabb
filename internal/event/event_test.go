package event_test

import (
	"errors"
	"flag"
	"os"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/event"
)

var update = flag.Bool("update", false, "rewrite docs/EVENTS.md")

const pagePath = "../../docs/EVENTS.md"

func TestPageMatchesCatalogue(t *testing.T) {
	if *update {
		require.NoError(t, os.WriteFile(pagePath, []byte(event.Markdown()), 0o644))
	}
	page, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	require.Equal(t, event.Markdown(), string(page))
}

// An error may quote a response head of many KiB; its event must not.
func TestErrorsAreCutOff(t *testing.T) {
	require.Equal(t, "short", event.Error(errors.New("short")).Value.String())
	text := event.Error(errors.New(strings.Repeat("ä", 40<<10))).Value.String()
	require.Less(t, len(text), 2<<10)
	require.True(t, utf8.ValidString(text))
}

func TestCatalogueNumbersAscend(t *testing.T) {
	last := 0
	for _, e := range event.Catalogue() {
		require.Greater(t, e.Number, last, e.Name)
		require.NotEmpty(t, e.Meaning, e.Name)
		require.NotEmpty(t, e.Action, e.Name)
		last = e.Number
	}
}
