// Package registry follows what the platform's store says of the configuration and the runners.
package registry
