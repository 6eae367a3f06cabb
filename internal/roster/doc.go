// Package roster keeps the runners that registered with the platform, as one entry VM knows them.
package roster
