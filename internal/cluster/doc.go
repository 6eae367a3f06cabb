// Package cluster links each entry VM to the holder of the order lease. VMs report their demand to the holder, which
// broadcasts runner updates, the configuration and the prompt sections in quarantine, and sends each VM its share of the quotas. No guarantee of the system depends on a link.
package cluster
