// Package experiment drives the real decision packages on virtual time against a model of engines' queues.
package experiment
