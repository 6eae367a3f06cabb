// Package run implements the command "cowsliparch experiment run".
package run
