// Package list implements the command "cowsliparch preset list".
package list
