// Package fakevmlist is a stand-in for the platform's VM list.
package fakevmlist
