// Package plaincall forwards calls to plain services: HTTP services that do not run models. Calls that are not idempotent
// run at most once.
package plaincall
