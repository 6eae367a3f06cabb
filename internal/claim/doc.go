// Package claim folds the claims and outcomes of keyed at-most-once calls.
package claim
