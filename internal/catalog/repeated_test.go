package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
)

// Guards against services that replace others without a trace, also once accounts are added.
func TestRepeatedServicesAreListed(t *testing.T) {
	services := []catalog.Service{{Name: "a"}, {Name: "b"}, {Name: "a"}, {Name: "a"}}
	c := catalog.New(1, catalog.Limits{}, nil, services).WithAccounts([]catalog.Account{{Name: "x"}})
	require.Equal(t, []string{"a", "a"}, c.RepeatedServices())
	require.Empty(t, withRoutes().RepeatedServices())
}
