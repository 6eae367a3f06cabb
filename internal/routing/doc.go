// Package routing predicts the time to the first token at each endpoint and chooses where a call goes.
package routing
