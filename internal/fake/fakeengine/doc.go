// Package fakeengine implements a fake model engine with accelerators, a queue and fault injection.
package fakeengine
