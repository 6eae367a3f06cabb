// Package callers bounds what callers' connections hold of a VM: the memory of requests and the descriptors. A Guard decides which
// incomplete requests and which connections are given up first; a request that was read completely is never given up.
package callers
