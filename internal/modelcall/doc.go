// Package modelcall serves calls to models: it admits them, chooses an endpoint, relays the answer and, if the answer
// breaks off, resumes it at another endpoint.
package modelcall
