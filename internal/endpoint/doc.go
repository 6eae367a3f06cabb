// Package endpoint defines the interfaces to model engines and plain services.
package endpoint
