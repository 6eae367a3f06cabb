// Package proxy sends callers' requests through another entry VM while this one is partitioned from all runners. It carries a request to
// that VM and the response back over HTTP/1.1, apart from the links between VMs, and never more than one hop.
package proxy
