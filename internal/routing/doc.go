// Package routing predicts the first-token time at each endpoint and chooses where a call goes.
package routing
