// Package serve implements the command "cowsliparch serve".
package serve
