// Package publish implements the command "cowsliparch configuration publish".
package publish
