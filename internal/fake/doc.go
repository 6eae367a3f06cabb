// Package fake provides the HTTP server that the fakes of the platform and of the endpoints run on, for the demo and tests.
package fake
