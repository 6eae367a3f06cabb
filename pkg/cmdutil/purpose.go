package cmdutil

import (
	"flag"
)

// The commands that settings files are for.
const (
	ForEntry = "entry"
	ForServe = "serve"
)

// DeclareFor adds the flag that says which command a settings file is for.
func DeclareFor(flags *flag.FlagSet, value *string) {
	*value = ForEntry
	flags.Func("for", "`command` that the file is for: "+ForEntry+" (default) or "+ForServe, func(text string) error {
		if text != ForEntry && text != ForServe {
			return &FlagError{Reason: text + " has no settings of its own"}
		}
		*value = text
		return nil
	})
}
