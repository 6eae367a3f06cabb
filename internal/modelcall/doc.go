// Package modelcall serves calls to models: it admits them, chooses an endpoint, relays the response and, if the response
// breaks off, resumes it at another endpoint.
package modelcall
