package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/goldcrestmux/goldcrestmux/explain"
	"github.com/goldcrestmux/goldcrestmux/operator"
	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// explainUsage are the arguments of the explain command.
const explainUsage = "ADDR METHOD URL [-organisation NAME] [-priority N]"

// explainFlags are the flags of the explain command.
type explainFlags struct {
	organisation string
	priority     string
}

// explainCommand returns the explain command. Its flags may come before or after its
// arguments.
func (c *command) explainCommand() *ffcli.Command {
	var f explainFlags
	flags := c.flagSet("explain")
	flags.StringVar(&f.organisation, "organisation", "", "name of the caller's organisation")
	flags.StringVar(&f.priority, "priority", "", "priority to assume in place of the organisation's or the route's")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "gcmuxctl explain [--json] " + explainUsage,
		ShortHelp:  "print where a process would send a request now, and why, without sending it",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			args, err := interleaved(flags, args)
			if err != nil {
				return err
			}
			if len(args) != 3 {
				return &usageError{"explain takes " + explainUsage}
			}
			return c.explain(ctx, args[0], args[1], args[2], f)
		},
	}
}

// interleaved parses the flags among args, and returns the other arguments.
func interleaved(flags *flag.FlagSet, args []string) (rest []string, err error) {
	for len(args) > 0 {
		if !strings.HasPrefix(args[0], "-") {
			rest, args = append(rest, args[0]), args[1:]
			continue
		}
		if err := flags.Parse(args); err != nil {
			return nil, &usageError{err.Error()}
		}
		args = flags.Args()
	}
	return rest, nil
}

func (c *command) explain(ctx context.Context, addr, method, rawURL string, f explainFlags) error {
	if f.priority != "" {
		if _, err := strconv.Atoi(f.priority); err != nil {
			return &usageError{fmt.Sprintf("priority %q is not a number", f.priority)}
		}
	}
	if u, err := url.Parse(rawURL); err != nil || u.Host == "" {
		return &usageError{fmt.Sprintf("URL %q has no host", rawURL)}
	}
	q := url.Values{"method": {method}, "url": {rawURL}}
	if f.organisation != "" {
		q.Set("organisation", f.organisation)
	}
	if f.priority != "" {
		q.Set("priority", f.priority)
	}
	response, err := c.request(ctx, http.MethodGet, addr, operator.PathExplain+"?"+q.Encode(), "")
	if err != nil {
		return err
	}
	var e explain.Explanation
	if err := json.Unmarshal(response, &e); err != nil {
		return errors.Annotatef(err, "the response of %s is not an explanation", addr)
	}
	if !c.json {
		return printExplanation(c.stdout, &e)
	}
	_, err = c.stdout.Write(append(bytes.TrimSpace(response), '\n'))
	return errors.Trace(err)
}

func printExplanation(w io.Writer, e *explain.Explanation) error {
	fmt.Fprintf(w, "%s %s%s at %s (%s)\n\n", e.Method, e.Host, e.Path, e.Process, e.DataCentre)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, s := range e.Steps {
		mark := ""
		if s.Rejected {
			mark = "REJECTED: "
		}
		fmt.Fprintf(table, "%s\t%s%s\n", s.Name, mark, s.Outcome)
	}
	if err := table.Flush(); err != nil {
		return errors.Trace(err)
	}
	if len(e.Peers) > 0 {
		fmt.Fprint(w, "\npeers that the request may be handed to\n")
		fmt.Fprintln(table, "  ORDER\tPEER\tDATA CENTRE\tCOST\tNOTE")
		for i, p := range e.Peers {
			order, note := strconv.Itoa(i+1), ""
			if !p.Usable {
				order, note = "-", "not usable now"
			}
			fmt.Fprintf(table, "  %s\t%s\t%s\t%.2f ms\t%s\n", order, p.Name, p.DataCentre, p.CostMs, note)
		}
		if err := table.Flush(); err != nil {
			return errors.Trace(err)
		}
	}
	for i := range e.Services {
		if err := printService(w, &e.Services[i]); err != nil {
			return err
		}
	}
	if e.OmittedServices > 0 {
		fmt.Fprintf(w, "\n%d more services are not shown\n", e.OmittedServices)
	}
	return nil
}

func printService(w io.Writer, s *explain.Service) error {
	fmt.Fprintf(w, "\nservice %s, %.4g%% of the requests\n", s.Name, 100*s.Share)
	if len(s.Targets) == 0 {
		fmt.Fprintln(w, "  no target is registered")
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "  ORDER\tTARGET\tDATA CENTRE\tCOST\tIN USE\tCONNECTIONS\tSLOWNESS\tFAILURES\tNOTES")
	for i, t := range s.Targets {
		order, cost := strconv.Itoa(i+1), "-"
		notes := strings.Join(t.Notes, "; ")
		if t.CostMs != nil {
			cost = fmt.Sprintf("%.2f ms", *t.CostMs)
		} else {
			order = "-"
			notes = strings.TrimSuffix("RULED OUT: "+t.RuledOut+"; "+notes, "; ")
		}
		fmt.Fprintf(table, "  %s\t%s\t%s\t%s\t%d of %d\t%d idle, %d of %d\t%.2f\t%.2f\t%s\n",
			order, t.ID, t.DataCentre, cost, t.InUse, t.Slots, t.Idle, t.Connections, t.MaxConnections, t.Slowness, t.Failures, notes)
	}
	if err := table.Flush(); err != nil {
		return errors.Trace(err)
	}
	if s.OmittedTargets > 0 {
		fmt.Fprintf(w, "  %d more targets are not shown\n", s.OmittedTargets)
	}
	return nil
}
