// Package entry implements the command "cowsliparch entry".
package entry
