package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. Each returns whether the rule was broken, or an error if it could not run.
var cases = map[string]func(s *stage, trouble bool) (bool, error){
	"restored":   restored,
	"odd-names":  oddNames,
	"many-names": manyNames,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage3 CASE FOLDER")
		return failed
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		return failed
	}
	s, err := newStage(filepath.Dir(filepath.Dir(folder)), folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer s.close()
	isBroken, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		s.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	case isBroken:
		return broken
	default:
		return held
	}
}
