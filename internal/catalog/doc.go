// Package catalog holds the routes, services and models of the operators' configuration in force.
package catalog
