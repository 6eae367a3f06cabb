// Package story selects, from the logs of many VMs, the lines that explain what happened to one request.
package story
