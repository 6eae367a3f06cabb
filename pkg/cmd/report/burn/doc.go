// Package burn implements the command "cowsliparch report burn".
package burn
