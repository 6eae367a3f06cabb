// Package cmdutil provides what the commands share: the command tree, the dependency factory, common flags and typed errors.
package cmdutil
