// Package fakeservice is a stand-in for a plain service that keeps a journal of what it executed.
package fakeservice
