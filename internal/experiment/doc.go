// Package experiment simulates scenarios on virtual time: the production routing, admission and placement packages decide,
// and model engines queue and answer the calls.
package experiment
