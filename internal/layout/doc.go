// Package layout decides which models and adapters the runners of one service should have; it does no I/O and keeps no
// state.
package layout
