// Package settings reads and validates the INI settings files of the entry and serve commands.
package settings
