// Package fakelog is a stand-in for the platform's log service that can be told to fail.
package fakelog
