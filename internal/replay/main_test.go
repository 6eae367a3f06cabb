package replay_test

import (
	"os"
	"testing"

	"github.com/cowsliparch/cowsliparch/internal/fake/seeded"
)

func TestMain(m *testing.M) {
	os.Exit(seeded.Main(m, map[string]string{
		"rapid.seed":       "2",
		"rapid.checks":     "3000",
		"rapid.steps":      "50",
		"rapid.nofailfile": "true",
	}))
}
