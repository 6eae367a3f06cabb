package fold_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that every run gives the same verdict; flags on the command line go before it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed":       "2",
		"rapid.checks":     "3000",
		"rapid.steps":      "50",
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
