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

// rule describes how to parse a field, which values it allows and its default
// value.
type rule[T any] struct {
	// parse returns the value, or a non-empty description of the problem.
	parse        func(n *jsonc.Node) (value T, problem string)
	allowed      string
	defaultValue T
	required     bool
}

// withDefault returns a copy of r for an optional field with a default value.
func (r rule[T]) withDefault(defaultValue T) rule[T] {
	r.defaultValue = defaultValue
	r.required = false
	return r
}

func wholeNumber(minimum, maximum int) rule[int] {
	parse := func(n *jsonc.Node) (int, string) {
		if n.Kind != jsonc.Number {
			return 0, "is " + n.Kind.String()
		}
		v, err := strconv.Atoi(n.Text)
		if err != nil {
			return 0, n.Text + " is not a whole number within range"
		}
		if v < minimum || v > maximum {
			return 0, n.Text + " is out of range"
		}
		return v, ""
	}
	allowed := fmt.Sprintf("a whole number from %d to %d", minimum, maximum)
	return rule[int]{parse: parse, allowed: allowed, required: true}
}

// decimal returns the rule for a number from minimum to maximum, excluding minimum
// itself if open is true.
func decimal(minimum, maximum float64, open bool) rule[float64] {
	parse := func(n *jsonc.Node) (float64, string) {
		if n.Kind != jsonc.Number {
			return 0, "is " + n.Kind.String()
		}
		v, err := strconv.ParseFloat(n.Text, 64)
		if err != nil || v < minimum || v > maximum || open && v == minimum {
			return 0, n.Text + " is out of range"
		}
		return v, ""
	}
	from := "from"
	if open {
		from = "above"
	}
	allowed := fmt.Sprintf("a number %s %s to %s", from, formatDecimal(minimum), formatDecimal(maximum))
	return rule[float64]{parse: parse, allowed: allowed, required: true}
}

// formatDecimal formats a number without an exponent.
func formatDecimal(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func duration(minimum, maximum time.Duration) rule[time.Duration] {
	parse := func(n *jsonc.Node) (time.Duration, string) {
		if n.Kind != jsonc.String {
			return 0, "is " + n.Kind.String()
		}
		v, err := time.ParseDuration(n.Text)
		if err != nil {
			return 0, strconv.Quote(n.Text) + " is not a duration with a unit"
		}
		if v < minimum || v > maximum {
			return 0, strconv.Quote(n.Text) + " is out of range"
		}
		return v, ""
	}
	allowed := fmt.Sprintf("a string such as \"250ms\" or \"1.5s\", from %v to %v", minimum, maximum)
	return rule[time.Duration]{parse: parse, allowed: allowed, required: true}
}

// matchingString returns the rule for a string for which valid returns true.
func matchingString(allowed string, valid func(string) bool) rule[string] {
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

func boolean() rule[bool] {
	parse := func(n *jsonc.Node) (bool, string) {
		if n.Kind != jsonc.True && n.Kind != jsonc.False {
			return false, "is " + n.Kind.String()
		}
		return n.Kind == jsonc.True, ""
	}
	return rule[bool]{parse: parse, allowed: "true or false", required: true}
}

var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,63}$`)
	tokenPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const nameAllowed = "1 to 64 letters, digits, \"-\" and \"_\", the first a letter or digit"

func isName(s string) bool { return namePattern.MatchString(s) }

func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

// Bounds and default values of fields.
const (
	minDeadline          = time.Millisecond
	maxDeadline          = time.Minute
	defaultDeadline      = time.Second
	maxHedgeFraction     = 0.05
	defaultHedgeFraction = 0.05
	maxWarmAfter         = 1_000_000
	defaultWarmAfter     = 10
	maxSequence          = 1<<31 - 1

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

// Rules of fields.
var (
	nameRule = matchingString(nameAllowed, isName)

	sequenceRule      = wholeNumber(1, maxSequence)
	deadlineRule      = duration(minDeadline, maxDeadline).withDefault(defaultDeadline)
	stragglerWaitRule = duration(minDeadline, maxDeadline)
	minCoverageRule   = decimal(0, 1, false).withDefault(0)
	hedgeFractionRule = decimal(0, maxHedgeFraction, false).withDefault(defaultHedgeFraction)
	warmAfterRule     = wholeNumber(1, maxWarmAfter).withDefault(defaultWarmAfter)

	tokenRule = matchingString("the SHA-256 hash of the token as 64 lower-case hex digits",
		tokenPattern.MatchString)
	actionsRule     = boolean().withDefault(false)
	rateRule        = decimal(0, maxRate, true)
	burstRule       = wholeNumber(1, maxBurst)
	concurrencyRule = wholeNumber(1, maxConcurrency).withDefault(defaultConcurrency)
	priorityRule    = wholeNumber(0, maxPriority).withDefault(defaultPriority)

	dataCentreStateRule = oneOf(StateIn, StateOut).withDefault(StateIn)

	addressRule     = matchingString("an IP address with a port, such as \"10.1.2.3:8080\"", isAddress)
	slotsRule       = wholeNumber(1, maxSlots)
	connectionsRule = wholeNumber(1, maxConnections)
	coldSlotsRule   = wholeNumber(1, maxSlots).withDefault(defaultColdSlots)
	targetStateRule = oneOf(StateIn, StateLeaving).withDefault(StateIn)
)

// formatJSON encodes v as JSON in the form that a folder file has.
func formatJSON(v any) string {
	if d, ok := v.(time.Duration); ok {
		v = d.String()
	}
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}
