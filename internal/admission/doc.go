// Package admission decides whether a call can be answered on time, before any work is spent on it.
package admission
