// Package settings reads and checks the INI settings of an entry process.
package settings
