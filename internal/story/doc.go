// Package story tells from the logs of many VMs what became of one request.
package story
