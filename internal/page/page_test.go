package page_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/page"
)

func TestReplace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "page.md")
	require.NoError(t, os.WriteFile(path, []byte("before\n"+page.Wrap("make a", "previous run")+"\nafter\n"), 0o644))
	require.NoError(t, page.Replace(path, "make a", "new run"))
	got, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, "before\n"+page.Wrap("make a", "new run")+"\nafter\n", string(got))
	var markerError *page.MarkerError
	require.ErrorAs(t, page.Replace(path, "make b", "new run"), &markerError)
}
