// Package ctl holds the commands of gcmuxctl, the operators' tool.
package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes of gcmuxctl.
const (
	ExitOK = 0
	// ExitFailed is the code for a faulty folder and for a process that can't be asked.
	ExitFailed = 1
	// ExitUsage is the code for a command line that can't be understood.
	ExitUsage = 2
)

// defaultTimeout bounds a request to a process unless -timeout is set.
const defaultTimeout = 5 * time.Second

// errReported stands for a failure that was printed already.
const errReported = errors.ConstError("failure was reported")

// usageError is a command line that can't be understood.
type usageError struct{ problem string }

// Error returns the problem.
func (e *usageError) Error() string { return e.problem }

// command holds what the commands share.
type command struct {
	stdout, stderr io.Writer
	json           bool
	timeout        time.Duration
}

// Run executes gcmuxctl with args, which leave out the program's name, and
// returns its exit code. Results go to stdout, faults and notes to stderr.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	c := &command{stdout: stdout, stderr: stderr}
	root := c.root()
	err := root.Parse(args)
	if err == nil {
		err = root.Run(ctx)
	} else if !errors.Is(err, flag.ErrHelp) {
		err = &usageError{err.Error()}
	}
	return c.exitCode(err)
}

func (c *command) exitCode(err error) int {
	var usage *usageError
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintf(c.stderr, "gcmuxctl: %v; see gcmuxctl --help\n", err)
		return ExitUsage
	case errors.Is(err, errReported):
		return ExitFailed
	default:
		fmt.Fprintf(c.stderr, "gcmuxctl: %v\n", err)
		return ExitFailed
	}
}

func (c *command) root() *ffcli.Command {
	root := &ffcli.Command{
		Name:       "gcmuxctl",
		ShortUsage: "gcmuxctl [--json] COMMAND ARGUMENT...",
		LongHelp:   "Exits with 0, with 1 for a faulty folder or an unreachable process, with 2 for a wrong command line.",
		FlagSet:    c.flagSet("gcmuxctl"),
		Subcommands: []*ffcli.Command{
			c.sub("validate", "DIR", "check a folder and print every fault", c.validate),
			c.sub("merge", "DIR", "print what a folder amounts to and which file sets each value", c.merge),
			c.sub("diff", "DIR DIR", "print the values in which two folders differ", c.diff),
			c.sub("dump", "ADDR", "print the state of the process with this operator address", c.dump),
			c.sub("members", "ADDR", "print the members that a process knows, and who lags behind", c.members),
			c.sub("level", "ADDR LEVEL", "set the log level of a process: debug, info, warn or error", c.level),
		},
	}
	root.Exec = func(_ context.Context, args []string) error {
		if len(args) == 0 {
			return &usageError{"a command is missing"}
		}
		return &usageError{fmt.Sprintf("unknown command %q", args[0])}
	}
	return root
}

// sub returns the subcommand that takes the arguments that are named in usage.
func (c *command) sub(name, usage, help string, run func(context.Context, []string) error) *ffcli.Command {
	wanted := countWords(usage)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "gcmuxctl " + name + " [--json] " + usage,
		ShortHelp:  help,
		FlagSet:    c.flagSet(name),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != wanted {
				return &usageError{fmt.Sprintf("%s takes %s, flags before it", name, usage)}
			}
			return run(ctx, args)
		},
	}
}

func (c *command) flagSet(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(c.stderr)
	flags.BoolVar(&c.json, "json", c.json, "print JSON for programs")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "bound of a request to a process")
	return flags
}

func countWords(s string) int {
	n := 1
	for _, r := range s {
		if r == ' ' {
			n++
		}
	}
	return n
}

// printJSON prints v as indented JSON.
func (c *command) printJSON(v any) error {
	encoder := json.NewEncoder(c.stdout)
	encoder.SetIndent("", "  ")
	return errors.Trace(encoder.Encode(v))
}
