// Package outbound sends HTTP/1.1 requests to endpoints over pooled connections. It never retries a request, and its errors
// tell whether a request was certainly not sent or may have run.
package outbound
