// Package factory makes the factory of the real process.
package factory
