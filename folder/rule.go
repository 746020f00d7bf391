package folder

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/jsonc"
)

// rule tells how to read one field, what is allowed in it, and what holds if
// it is absent.
type rule[T any] struct {
	// parse returns the value, or a non-empty problem.
	parse    func(n *jsonc.Node) (value T, problem string)
	allowed  string
	fallback T
	required bool
}

// or returns the rule for an optional field with a default.
func (r rule[T]) or(fallback T) rule[T] {
	r.fallback = fallback
	r.required = false
	return r
}

func wholeNumber(least, most int) rule[int] {
	parse := func(n *jsonc.Node) (int, string) {
		if n.Kind != jsonc.Number {
			return 0, "is " + n.Kind.String()
		}
		v, err := strconv.Atoi(n.Text)
		if err != nil {
			return 0, n.Text + " is not a whole number within range"
		}
		if v < least || v > most {
			return 0, n.Text + " is out of range"
		}
		return v, ""
	}
	allowed := fmt.Sprintf("a whole number from %d to %d", least, most)
	return rule[int]{parse: parse, allowed: allowed, required: true}
}

// decimal accepts numbers from least to most; least itself is left out if open.
func decimal(least, most float64, open bool) rule[float64] {
	parse := func(n *jsonc.Node) (float64, string) {
		if n.Kind != jsonc.Number {
			return 0, "is " + n.Kind.String()
		}
		v, err := strconv.ParseFloat(n.Text, 64)
		if err != nil || v < least || v > most || open && v == least {
			return 0, n.Text + " is out of range"
		}
		return v, ""
	}
	from := "from"
	if open {
		from = "above"
	}
	allowed := fmt.Sprintf("a number %s %s to %s", from, plain(least), plain(most))
	return rule[float64]{parse: parse, allowed: allowed, required: true}
}

// plain formats a number without an exponent.
func plain(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func duration(least, most time.Duration) rule[time.Duration] {
	parse := func(n *jsonc.Node) (time.Duration, string) {
		if n.Kind != jsonc.String {
			return 0, "is " + n.Kind.String()
		}
		v, err := time.ParseDuration(n.Text)
		if err != nil {
			return 0, strconv.Quote(n.Text) + " is not a duration with a unit"
		}
		if v < least || v > most {
			return 0, strconv.Quote(n.Text) + " is out of range"
		}
		return v, ""
	}
	allowed := fmt.Sprintf("a string such as \"250ms\" or \"1.5s\", from %v to %v", least, most)
	return rule[time.Duration]{parse: parse, allowed: allowed, required: true}
}

// text accepts strings that pass valid.
func text(allowed string, valid func(string) bool) rule[string] {
	parse := func(n *jsonc.Node) (string, string) {
		if n.Kind != jsonc.String {
			return "", "is " + n.Kind.String()
		}
		if !valid(n.Text) {
			return "", strconv.Quote(n.Text) + " is not accepted"
		}
		return n.Text, ""
	}
	return rule[string]{parse: parse, allowed: allowed, required: true}
}

func oneOf(states ...State) rule[State] {
	quoted := make([]string, len(states))
	for i, s := range states {
		quoted[i] = strconv.Quote(string(s))
	}
	parse := func(n *jsonc.Node) (State, string) {
		if n.Kind != jsonc.String {
			return "", "is " + n.Kind.String()
		}
		if !slices.Contains(states, State(n.Text)) {
			return "", strconv.Quote(n.Text) + " is not accepted"
		}
		return State(n.Text), ""
	}
	return rule[State]{parse: parse, allowed: strings.Join(quoted, " or "), required: true}
}

func flag() rule[bool] {
	parse := func(n *jsonc.Node) (bool, string) {
		if n.Kind != jsonc.True && n.Kind != jsonc.False {
			return false, "is " + n.Kind.String()
		}
		return n.Kind == jsonc.True, ""
	}
	return rule[bool]{parse: parse, allowed: "true or false", required: true}
}

var (
	nameShape  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,63}$`)
	tokenShape = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const nameAllowed = "1 to 64 letters, digits, \"-\" and \"_\", the first a letter or digit"

func isName(s string) bool { return nameShape.MatchString(s) }

func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

// Bounds and defaults of the folder's fields.
const (
	minDeadline       = time.Millisecond
	maxDeadline       = time.Minute
	defaultDeadline   = time.Second
	maxHedgeShare     = 0.05
	defaultHedgeShare = 0.05
	maxWarmAfter      = 1_000_000
	defaultWarmAfter  = 10
	maxSequence       = 1<<31 - 1

	maxRate            = 1_000_000 // requests per second
	maxBurst           = 1_000_000
	maxConcurrency     = 100_000
	defaultConcurrency = 100
	maxPriority        = 9
	defaultPriority    = 5

	maxSlots         = 1_000
	maxConnections   = 10_000
	defaultColdSlots = 1
)

// Rules of the folder's fields.
var (
	nameRule = text(nameAllowed, isName)

	sequenceRule    = wholeNumber(1, maxSequence)
	deadlineRule    = duration(minDeadline, maxDeadline).or(defaultDeadline)
	waitRule        = duration(minDeadline, maxDeadline)
	minCoverageRule = decimal(0, 1, false).or(0)
	hedgeShareRule  = decimal(0, maxHedgeShare, false).or(defaultHedgeShare)
	warmAfterRule   = wholeNumber(1, maxWarmAfter).or(defaultWarmAfter)

	tokenRule = text("the SHA-256 of the token in 64 lower-case hex digits",
		tokenShape.MatchString)
	actionsRule     = flag().or(false)
	rateRule        = decimal(0, maxRate, true)
	burstRule       = wholeNumber(1, maxBurst)
	concurrencyRule = wholeNumber(1, maxConcurrency).or(defaultConcurrency)
	priorityRule    = wholeNumber(0, maxPriority).or(defaultPriority)

	dataCentreStateRule = oneOf(StateIn, StateOut).or(StateIn)

	addressRule     = text("an IP number with a port, such as \"10.1.2.3:8080\"", isAddress)
	slotsRule       = wholeNumber(1, maxSlots)
	connectionsRule = wholeNumber(1, maxConnections)
	coldSlotsRule   = wholeNumber(1, maxSlots).or(defaultColdSlots)
	targetStateRule = oneOf(StateIn, StateLeaving).or(StateIn)
)

// format returns a value as the folder would spell it.
func format(v any) string {
	if d, ok := v.(time.Duration); ok {
		v = d.String()
	}
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}
