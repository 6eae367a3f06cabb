// Package registry watches the configuration and the runner registrations in the platform's store.
package registry
