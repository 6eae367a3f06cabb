// Package requestlog selects, from the logs of many VMs, the lines that explain what happened to one request.
package requestlog
