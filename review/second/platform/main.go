//go:build review

// Command standins plays one case of the review against the project's entry processes: it starts
// stand-ins of the platform's store, the servers and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"sort"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// aCase plays a case and returns how the rule was broken; nothing if it held.
type aCase func(w *world) (broken []string, err error)

var cases = map[string]aCase{}

// zones holds the zone of each machine.
var zones = []string{"bne", "bne", "bne", "tsv", "tsv", "too"}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) < 3 {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD; cases:", names)
		return exitFailed
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitFailed
	}
	w, err := newWorld(zones)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	time.AfterFunc(115*time.Second, func() {
		w.note("not over in time")
		w.close()
		os.Exit(exitFailed)
	})
	broken, err := play(w)
	if err != nil {
		w.note("the case could not run: %v", err)
	}
	for i, b := range broken {
		if i == 40 {
			w.note("and %d more", len(broken)-i)
			break
		}
		w.note("BROKEN: %s", b)
	}
	w.writeRecord(os.Args[2])
	w.close()
	switch {
	case err != nil:
		return exitFailed
	case len(broken) > 0:
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
