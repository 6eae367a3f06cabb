// Package fakelog implements a fake of the platform's log service with fault injection.
package fakelog
