// Package ctl implements the commands of gcmuxctl, the tool for operators.
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
	// ExitFailed means that a folder or a configuration has faults or that a request to a process failed.
	ExitFailed = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
)

// defaultTimeout is the timeout of a request to a process unless -timeout is set.
const defaultTimeout = 5 * time.Second

// errReported is returned for a failure that is already printed.
const errReported = errors.ConstError("failure was reported")

// usageError is the error for an invalid command line.
type usageError struct{ problem string }

// Error returns the problem.
func (e *usageError) Error() string { return e.problem }

// command holds the output streams and flags that all commands share.
type command struct {
	stdout, stderr io.Writer
	json           bool
	timeout        time.Duration
}

// Run executes gcmuxctl with args, which do not include the name of the program,
// and returns the exit code. It writes results to stdout, and faults and notes to
// stderr.
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
		LongHelp:   "The exit code is 0 on success, 1 for a faulty folder or configuration or an unreachable process, and 2 for an invalid command line.",
		FlagSet:    c.flagSet("gcmuxctl"),
		Subcommands: []*ffcli.Command{
			c.sub("validate", "DIR", "check a folder and print every fault", c.validate),
			c.sub("merge", "DIR", "print the merged values of a folder and the file that sets each", c.merge),
			c.sub("diff", "DIR DIR", "print the values in which two folders differ", c.diff),
			c.sub("check-config", "FILE", "check a file with the platform's configuration, as it is published", c.checkConfig),
			c.sub("dump", "ADDR", "print the state of the process with the operator address ADDR", c.dump),
			c.sub("members", "ADDR", "print the members that a process knows and mark those behind the highest revision", c.members),
			c.sub("level", "ADDR LEVEL", "set the log level of a process: debug, info, warn or error", c.level),
			c.explainCommand(),
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

// sub returns a subcommand. usage names its arguments, separated by spaces.
func (c *command) sub(name, usage, help string, run func(context.Context, []string) error) *ffcli.Command {
	argCount := countWords(usage)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "gcmuxctl " + name + " [--json] " + usage,
		ShortHelp:  help,
		FlagSet:    c.flagSet(name),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != argCount {
				return &usageError{fmt.Sprintf("%s takes %s, preceded by flags", name, usage)}
			}
			return run(ctx, args)
		},
	}
}

func (c *command) flagSet(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(c.stderr)
	flags.BoolVar(&c.json, "json", c.json, "print JSON")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "timeout of a request to a process")
	return flags
}

// countWords returns the number of words in s, which are separated by single
// spaces.
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
