// Package orderlease implements the lease under which one entry VM of the whole system sends orders to runners. The lease is
// a log stream of records, each appended only if its writer knows the end of the stream. A tenure is one uninterrupted
// holding of the lease by a VM and is identified by its fencing token.
package orderlease
