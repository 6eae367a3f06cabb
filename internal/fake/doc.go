// Package fake holds small stand-ins for the platform and the endpoints, for the demo and tests.
package fake
