// Package operatorapi defines the JSON types of the operators' HTTP API and a client for it.
package operatorapi
