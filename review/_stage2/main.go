// Command _stage2 plays the cases of the second review: it starts the processes of entry VMs and stands in for their callers, runners and
// store.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// A case plays its trouble, unless there is to be none, and reports whether the rule was broken.
type caseFunc func(s *stage, trouble bool) (bool, error)

var cases = map[string]caseFunc{
	"adapters":    playAdapters,
	"deep-part":   playDeepPart,
	"first-event": playFirstEvent,
	"long-ids":    playLongIDs,
	"refused":     playRefused,
}

func main() {
	// The processes of VMs end with the thread that started them.
	runtime.LockOSThread()
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stage CASE PROGRAM RECORD")
		return failed
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return failed
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer record.Close()
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s, err := newStage(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer s.end()
	isBroken, err := play(s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		s.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if isBroken {
		s.note("verdict: the rule was broken")
		return broken
	}
	s.note("verdict: the rule held")
	return held
}
