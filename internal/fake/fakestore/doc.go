// Package fakestore is a stand-in for the rate-limited weight store.
package fakestore
