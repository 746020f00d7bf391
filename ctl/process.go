package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/operator"
)

// maxResponseBytes is the size at which the response of a process is truncated.
const maxResponseBytes = 64 << 20

// client sends requests directly, ignoring proxy settings in the environment.
var client = &http.Client{Transport: &http.Transport{}}

// request sends a request to the process at addr and returns the body of a
// successful response.
func (c *command) request(ctx context.Context, method, addr, path, body string) ([]byte, error) {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return nil, &usageError{fmt.Sprintf("address %q is not of the form IP:PORT", addr)}
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Annotatef(err, "read the response of %s", addr)
	}
	if resp.StatusCode/100 != 2 {
		return nil, errors.Errorf("%s responded with %s: %s", addr, resp.Status, bytes.TrimSpace(response))
	}
	return response, nil
}

func (c *command) dump(ctx context.Context, args []string) error {
	response, err := c.request(ctx, http.MethodGet, args[0], operator.PathState, "")
	if err != nil {
		return err
	}
	var b bytes.Buffer
	if err := json.Indent(&b, bytes.TrimSpace(response), "", "  "); err != nil {
		return errors.Annotatef(err, "the response of %s is not JSON", args[0])
	}
	fmt.Fprintln(c.stdout, b.String())
	return nil
}

func (c *command) members(ctx context.Context, args []string) error {
	response, err := c.request(ctx, http.MethodGet, args[0], operator.PathMembers, "")
	if err != nil {
		return err
	}
	var members []operator.Member
	if err := json.Unmarshal(response, &members); err != nil {
		return errors.Annotatef(err, "the response of %s is not a list of members", args[0])
	}
	slices.SortFunc(members, func(a, b operator.Member) int { return strings.Compare(a.Name, b.Name) })
	if c.json {
		return c.printJSON(members)
	}
	return c.printMembers(members)
}

// printMembers prints a table that marks the members that are not known to have
// the highest revision.
func (c *command) printMembers(members []operator.Member) error {
	highest := uint64(0)
	for _, m := range members {
		highest = max(highest, m.Revision)
	}
	marked := 0
	table := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tROLE\tDATA CENTRE\tSTATUS\tREVISION\tAGE\tSOURCE\tNOTE")
	for _, m := range members {
		note := revisionNote(m, highest)
		if note != "" {
			marked++
		}
		age := time.Duration(m.AgeMillis) * time.Millisecond
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%v\t%s\t%s\n",
			m.Name, m.Role, m.DataCentre, m.Status, m.Revision, age, m.Source, note)
	}
	if err := table.Flush(); err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintf(c.stdout, "%d members, highest revision %d, %d behind or unknown\n", len(members), highest, marked)
	return nil
}

// revisionNote returns a note on a member that is not known to have the highest
// revision, or "" for other members.
func revisionNote(m operator.Member, highest uint64) string {
	switch {
	case m.Revision == highest:
		return ""
	case m.Revision == 0:
		return "REVISION UNKNOWN"
	default:
		return fmt.Sprintf("BEHIND BY %d", highest-m.Revision)
	}
}

func (c *command) level(ctx context.Context, args []string) error {
	addr, level := args[0], strings.ToLower(args[1])
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, level) {
		return &usageError{fmt.Sprintf("level %q is not debug, info, warn or error", args[1])}
	}
	if _, err := c.request(ctx, http.MethodPut, addr, operator.PathLevel, level); err != nil {
		return err
	}
	if c.json {
		return c.printJSON(levelJSON{addr, level})
	}
	fmt.Fprintf(c.stdout, "log level of %s set to %s\n", addr, level)
	return nil
}

// levelJSON is the JSON output of the level command.
type levelJSON struct {
	Address string `json:"address"`
	Level   string `json:"level"`
}
