// Package use implements the command "cowsliparch preset use".
package use
