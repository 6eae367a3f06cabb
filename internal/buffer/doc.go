// Package buffer limits the memory of responses that are held until they can be passed on. It bounds what all of them hold
// together: a limit for each one alone does not, because a VM serves hundreds at once.
package buffer
