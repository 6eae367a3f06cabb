// Package measure implements the command "cowsliparch capacity measure".
package measure
