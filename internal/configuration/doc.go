// Package configuration holds the operators' configuration, its checks and the fold that puts one version in force.
package configuration
