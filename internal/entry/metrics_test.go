package entry_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The metrics named in the code and those listed in docs/METRICS.md are the same.
func TestMetricsMatchDocs(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	require.NoError(t, err)
	documented := make(map[string]bool)
	for _, match := range regexp.MustCompile(`\| (cowsliparch_\w+) \|`).FindAllStringSubmatch(string(page), -1) {
		documented[match[1]] = true
	}
	used := make(map[string]bool)
	quoted := regexp.MustCompile(`"(cowsliparch_\w+)"`)
	err = filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		content, err := os.ReadFile(path)
		for _, match := range quoted.FindAllStringSubmatch(string(content), -1) {
			used[match[1]] = true
		}
		return err
	})
	require.NoError(t, err)
	require.Equal(t, used, documented)
}
