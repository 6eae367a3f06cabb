package configuration_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/configuration"
	"github.com/cowsliparch/cowsliparch/internal/deployment"
)

func TestBuiltInDeploymentsAreValid(t *testing.T) {
	require.NoError(t, deployment.Peplos().Configuration.Validate())
	require.NoError(t, deployment.Huallaga().Configuration.Validate())
}

func TestValidateReportsPathOfFault(t *testing.T) {
	for _, tt := range []struct {
		name    string
		corrupt func(*configuration.Configuration)
		path    string
	}{
		{
			name:    "model larger than any accelerator",
			corrupt: func(c *configuration.Configuration) { c.Models[2].MemoryBytes = 1 << 40 },
			path:    "Models[2].MemoryBytes",
		},
		{
			name:    "floors that exceed memory",
			corrupt: func(c *configuration.Configuration) { c.Presets[1].Replicas = 9 },
			path:    "Presets[1]",
		},
		{
			name:    "floor of 0",
			corrupt: func(c *configuration.Configuration) { c.Presets[0].Replicas = 0 },
			path:    "Presets[0].Replicas",
		},
		{
			name:    "unknown model in an adapter",
			corrupt: func(c *configuration.Configuration) { c.Adapters[3].Model = "nothing" },
			path:    "Adapters[3].Model",
		},
		{
			name:    "adapter named like a model",
			corrupt: func(c *configuration.Configuration) { c.Adapters[0].Name = c.Models[0].Name },
			path:    "Adapters[0].Name",
		},
		{
			name:    "name used twice",
			corrupt: func(c *configuration.Configuration) { c.Models[1].Name = c.Models[0].Name },
			path:    "Models[1].Name",
		},
		{
			name:    "unknown failure domain",
			corrupt: func(c *configuration.Configuration) { c.Services[0].Presence[1].FailureDomain = "nowhere" },
			path:    "Services[0].Presence[1].FailureDomain",
		},
		{
			name:    "unknown fencing",
			corrupt: func(c *configuration.Configuration) { c.Services[0].Fencing = "Perhaps" },
			path:    "Services[0].Fencing",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := deployment.Peplos().Configuration
			tt.corrupt(&c)
			var invalid *configuration.InvalidError
			require.ErrorAs(t, c.Validate(), &invalid)
			var paths []string
			for _, fault := range invalid.Faults {
				paths = append(paths, fault.Path)
			}
			require.Contains(t, paths, tt.path)
		})
	}
}
