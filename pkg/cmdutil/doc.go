// Package cmdutil holds what the commands share: the command tree, the factory and the typed errors.
package cmdutil
