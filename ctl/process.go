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

// maxAnswerBytes bounds the answer of a process.
const maxAnswerBytes = 64 << 20

// client asks processes directly, whatever proxy the environment names.
var client = &http.Client{Transport: &http.Transport{}}

// request asks the process at addr and returns the body of a success.
func (c *command) request(ctx context.Context, method, addr, path, body string) ([]byte, error) {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return nil, &usageError{fmt.Sprintf("address %q has not the form IP:PORT", addr)}
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Annotatef(err, "read the answer of %s", addr)
	}
	if resp.StatusCode/100 != 2 {
		return nil, errors.Errorf("%s answered %s: %s", addr, resp.Status, bytes.TrimSpace(answer))
	}
	return answer, nil
}

func (c *command) dump(ctx context.Context, args []string) error {
	answer, err := c.request(ctx, http.MethodGet, args[0], operator.PathState, "")
	if err != nil {
		return err
	}
	var b bytes.Buffer
	if err := json.Indent(&b, bytes.TrimSpace(answer), "", "  "); err != nil {
		return errors.Annotatef(err, "the answer of %s is not JSON", args[0])
	}
	fmt.Fprintln(c.stdout, b.String())
	return nil
}

func (c *command) members(ctx context.Context, args []string) error {
	answer, err := c.request(ctx, http.MethodGet, args[0], operator.PathMembers, "")
	if err != nil {
		return err
	}
	var members []operator.Member
	if err := json.Unmarshal(answer, &members); err != nil {
		return errors.Annotatef(err, "the answer of %s is not a list of members", args[0])
	}
	slices.SortFunc(members, func(a, b operator.Member) int { return strings.Compare(a.Name, b.Name) })
	if c.json {
		return c.printJSON(members)
	}
	return c.printMembers(members)
}

// printMembers prints a table that marks who is behind the highest revision.
func (c *command) printMembers(members []operator.Member) error {
	highest := uint64(0)
	for _, m := range members {
		highest = max(highest, m.Revision)
	}
	behind := 0
	table := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tROLE\tDATA CENTRE\tSTATUS\tREVISION\tAGE\tSOURCE\tNOTE")
	for _, m := range members {
		note := revisionNote(m, highest)
		if note != "" {
			behind++
		}
		age := time.Duration(m.AgeMillis) * time.Millisecond
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%v\t%s\t%s\n",
			m.Name, m.Role, m.DataCentre, m.Status, m.Revision, age, m.Source, note)
	}
	if err := table.Flush(); err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintf(c.stdout, "%d members, highest revision %d, %d not known to be at it\n", len(members), highest, behind)
	return nil
}

// revisionNote tells how a member's revision differs from the highest one.
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
	fmt.Fprintf(c.stdout, "%s logs from level %s on\n", addr, level)
	return nil
}

// levelJSON is the JSON output of the level command.
type levelJSON struct {
	Address string `json:"address"`
	Level   string `json:"level"`
}
