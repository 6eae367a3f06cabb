// Package entry is the process of an entry VM: it wires the callers' path, the operators' interface and the control threads.
package entry
