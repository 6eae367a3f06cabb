// Package explain implements the command "cowsliparch explain".
package explain
