// Package catalog holds the routes, services and models of the operators' active configuration.
package catalog
