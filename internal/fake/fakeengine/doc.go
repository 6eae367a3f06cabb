// Package fakeengine is a stand-in for a model engine with accelerators, a queue and order faults.
package fakeengine
