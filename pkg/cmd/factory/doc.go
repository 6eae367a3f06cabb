// Package factory creates the dependency factory of the cowsliparch binary.
package factory
