// Package root implements the command "cowsliparch".
package root
