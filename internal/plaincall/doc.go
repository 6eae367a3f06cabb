// Package plaincall forwards calls to plain services, at most once where they may not be repeated.
package plaincall
