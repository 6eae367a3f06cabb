// Package check implements the command "cowsliparch settings check".
package check
