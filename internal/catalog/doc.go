// Package catalog holds the routes, services and models that the operators' newest configuration puts in force.
package catalog
