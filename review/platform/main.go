//go:build review

// Command platform plays the cases of the review: it starts the processes of the deploy file on
// loopback with stand-ins for the platform, the servers and the clients, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(rec *record, trouble bool) int{}

func main() {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "the file for the record")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(cannotRun)
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	code := play(rec, os.Getenv("TROUBLE") != "0")
	rec.say("exit code %d", code)
	rec.close()
	os.Exit(code)
}

// failed records why a case can't run.
func failed(rec *record, err error) int {
	rec.say("the case can't run: %v", err)
	return cannotRun
}
