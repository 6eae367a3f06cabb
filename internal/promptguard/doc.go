// Package promptguard keeps prompts with sections that crash runners from the runners. It collects the evidence of this VM, and
// on the lease holder that of all VMs, and applies the verdicts of package quarantine to requests.
package promptguard
