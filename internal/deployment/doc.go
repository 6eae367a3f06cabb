// Package deployment sizes the configuration and the stand-ins of the two deployments that the demo can show.
package deployment
