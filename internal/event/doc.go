// Package event defines the numbered log events of the system and their catalogue.
package event
