// Package plaincall forwards calls to plain services, which are HTTP services that are not models. Calls that are not
// idempotent run at most once.
package plaincall
