// Package demo implements the command "cowsliparch demo".
package demo
