// Package capacity measures slopes on this machine and works out each role's cost at the target size.
package capacity
