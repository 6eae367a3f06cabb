// Package example implements the command "cowsliparch settings example".
package example
