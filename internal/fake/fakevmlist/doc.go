// Package fakevmlist implements a fake of the platform's VM list.
package fakevmlist
