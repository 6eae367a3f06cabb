// Package fakeservice implements a fake plain service that counts the executions of each key.
package fakeservice
