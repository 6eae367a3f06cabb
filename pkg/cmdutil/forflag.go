package cmdutil

import (
	"flag"
)

// The commands that read a settings file.
const (
	ForEntry = "entry"
	ForServe = "serve"
)

// DeclareForFlag defines the flag -for, which selects the command that reads a settings file.
func DeclareForFlag(flags *flag.FlagSet, value *string) {
	*value = ForEntry
	flags.Func("for", "`command` that reads the file: "+ForEntry+" (default) or "+ForServe, func(command string) error {
		if command != ForEntry && command != ForServe {
			return &FlagError{Reason: command + " does not read a settings file"}
		}
		*value = command
		return nil
	})
}
