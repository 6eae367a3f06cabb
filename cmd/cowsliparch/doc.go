// Command cowsliparch serves many models on fewer accelerators.
package main
