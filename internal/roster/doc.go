// Package roster keeps the runner registrations that one entry VM knows.
package roster
