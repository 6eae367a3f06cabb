// Package load implements the command "cowsliparch load".
package load
