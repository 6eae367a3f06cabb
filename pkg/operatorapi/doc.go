// Package operatorapi holds the wire types of the operators' HTTP interface and a client for it.
package operatorapi
