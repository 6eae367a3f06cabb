// Command standin plays the platform, the runners and the clients of a case of the review, and starts the system's processes. It
// exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	cases := map[string]func(*world, bool) (bool, error){
		"endless": endless,
		"idle":    idle,
		"odd":     odd,
		"silent":  silent,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		w.end()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.logf("the case could not run: %v", err)
	}
	w.end()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
