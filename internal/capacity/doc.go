// Package capacity measures on this machine how the cost of each mechanism grows with size, and extrapolates the cost of
// each role to the target size.
package capacity
