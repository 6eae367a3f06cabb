// Package operator answers the operators' HTTP interface of an entry VM.
package operator
