// Package configuration defines the configuration that operators publish, validates it, and determines from the log which
// version is in force.
package configuration
