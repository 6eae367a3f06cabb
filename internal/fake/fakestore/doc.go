// Package fakestore implements a fake of the rate-limited weight store.
package fakestore
