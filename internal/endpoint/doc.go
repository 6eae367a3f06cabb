// Package endpoint defines what the system needs of model engines and plain services.
package endpoint
