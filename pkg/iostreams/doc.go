// Package iostreams gives commands their standard streams, and tests a double of them.
package iostreams
