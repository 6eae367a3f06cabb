// Package check implements the command "cowsliparch configuration check".
package check
