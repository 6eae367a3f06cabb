package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cowsliparch/cowsliparch/pkg/cmd/factory"
	"github.com/cowsliparch/cowsliparch/pkg/cmd/root"
	"github.com/cowsliparch/cowsliparch/pkg/cmdutil"
)

func main() {
	os.Exit(int(run()))
}

func run() cmdutil.ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	f := factory.New()
	err := root.NewCommand(f).Execute(ctx, os.Args[1:], f.IOStreams.Out)
	var silent *cmdutil.SilentError
	if err != nil && !errors.As(err, &silent) && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(f.IOStreams.ErrOut, err)
	}
	return cmdutil.ExitCodeOf(err)
}
