package cmdutil

import (
	"flag"
)

// The commands that read a settings file.
const (
	EntryCommand = "entry"
	ServeCommand = "serve"
)

// DeclareForFlag defines the flag -for, which selects the command that reads a settings file.
func DeclareForFlag(flags *flag.FlagSet, value *string) {
	*value = EntryCommand
	flags.Func("for", "`command` that reads the file: "+EntryCommand+" (default) or "+ServeCommand, func(command string) error {
		if command != EntryCommand && command != ServeCommand {
			return &FlagError{Reason: command + " does not read a settings file"}
		}
		*value = command
		return nil
	})
}
