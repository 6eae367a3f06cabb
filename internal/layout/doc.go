// Package layout decides which models and adapters the runners of one service should hold; it does no I/O and keeps nothing.
package layout
