package cmdutil

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
)

// AnyArgs as the value of Command.Args allows any number of arguments.
const AnyArgs = -1

// Command is one command, or a group of subcommands.
type Command struct {
	// Use is the name followed by the arguments, such as "use <preset>".
	Use     string
	Short   string
	Long    string
	Example string
	// Flags defines the command's flags.
	Flags func(*flag.FlagSet)
	// Args is the number of arguments, or AnyArgs.
	Args int
	Run  func(ctx context.Context, args []string) error

	// Commands are the subcommands of a group, which has no Run of its own.
	Commands []*Command
}

// Name returns the first word of Use.
func (c *Command) Name() string {
	name, _, _ := strings.Cut(c.Use, " ")
	return name
}

// Execute runs the command, or the subcommand that args select, and writes help to out.
func (c *Command) Execute(ctx context.Context, args []string, out io.Writer) error {
	return c.execute(ctx, c.Name(), args, out)
}

func (c *Command) execute(ctx context.Context, path string, args []string, out io.Writer) error {
	if len(c.Commands) > 0 {
		return c.dispatch(ctx, path, args, out)
	}
	flags := flag.NewFlagSet(path, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	if c.Flags != nil {
		c.Flags(flags)
	}
	rest, err := parseFlags(flags, args)
	if errors.Is(err, flag.ErrHelp) {
		c.help(path, flags, out)
		return err
	}
	if err != nil {
		return &FlagError{Reason: err.Error() + "\nSee '" + path + " -h'."}
	}
	if c.Args != AnyArgs && len(rest) != c.Args {
		return &FlagError{Reason: fmt.Sprintf("%s requires %d arguments, got %d\nSee '%s -h'.", path, c.Args, len(rest), path)}
	}
	return c.Run(ctx, rest)
}

// parseFlags accepts flags before, between and after the arguments, and returns the arguments.
func parseFlags(flags *flag.FlagSet, args []string) ([]string, error) {
	var rest []string
	for {
		if err := flags.Parse(args); err != nil {
			return nil, err
		}
		if flags.NArg() == 0 {
			return rest, nil
		}
		rest = append(rest, flags.Arg(0))
		args = flags.Args()[1:]
	}
}

func (c *Command) dispatch(ctx context.Context, path string, args []string, out io.Writer) error {
	if len(args) == 0 || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		c.help(path, nil, out)
		return flag.ErrHelp
	}
	for _, sub := range c.Commands {
		if sub.Name() == args[0] {
			return sub.execute(ctx, path+" "+sub.Name(), args[1:], out)
		}
	}
	return &FlagError{Reason: fmt.Sprintf("unknown command %q\nSee '%s -h'.", args[0], path)}
}

func (c *Command) help(path string, flags *flag.FlagSet, out io.Writer) {
	description := c.Long
	if description == "" {
		description = c.Short
	}
	parent := strings.TrimSuffix(path, c.Name())
	fmt.Fprintf(out, "%s\n\nUSAGE\n  %s%s", description, parent, c.Use)
	if len(c.Commands) > 0 {
		fmt.Fprintf(out, " <command>\n\nCOMMANDS\n")
		for _, sub := range c.Commands {
			fmt.Fprintf(out, "  %-14s %s\n", sub.Name(), sub.Short)
		}
	} else {
		fmt.Fprintln(out)
	}
	if flags != nil {
		fmt.Fprintf(out, "\nFLAGS\n")
		flags.SetOutput(out)
		flags.PrintDefaults()
	}
	if c.Example != "" {
		fmt.Fprintf(out, "\nEXAMPLES\n%s\n", c.Example)
	}
}
