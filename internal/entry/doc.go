// Package entry implements the process of an entry VM: it sets up request handling for callers, the operator API and the
// background tasks.
package entry
