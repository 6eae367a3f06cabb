// Package iostreams provides the standard streams of commands, and in-memory streams for tests.
package iostreams
