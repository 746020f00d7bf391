// Package load sends requests to gateways in an open loop, on a schedule, and checks
// every response against the corpus and the stand-ins' ledgers.
//
// Latency is measured from the time at which a request was due, not from when it was
// sent, so that a slow system cannot hide its delays by slowing down the generator.
package load

import (
	"bytes"
	"cmp"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"github.com/goldcrestmux/goldcrestmux/standin"
)

// Bounds and defaults of a run.
const (
	MaxDuration          = 10 * time.Minute
	MaxRequests          = 500_000
	DefaultDuration      = 10 * time.Second
	DefaultRate          = 20 // requests per second
	DefaultDeadline      = time.Second
	DefaultMaxInProgress = 256 // requests per stream
	DefaultInterval      = time.Second
	DefaultReadyPeriod   = 200 * time.Millisecond
)

// Plan describes a run. In files it is JSON with comments.
type Plan struct {
	// Name is the title of the report.
	Name string `json:"name"`
	// Gateways are hosts and ports. Requests go to the ready ones in turn.
	Gateways []string `json:"gateways"`
	// Standins are the admin addresses of the stand-ins that the gateways use.
	Standins []string `json:"standins"`
	// Seed is the random seed of arrival times and queries.
	Seed uint64 `json:"seed"`
	// Duration is the time over which requests are scheduled, at most MaxDuration;
	// zero means DefaultDuration.
	Duration standin.Duration `json:"duration"`
	// Interval is the length of the report's steps; zero means DefaultInterval.
	Interval standin.Duration `json:"interval"`
	// ClientDelay is the one-way network delay between clients and gateways, which is
	// added before and after each request.
	ClientDelay standin.Duration `json:"client_distance"`
	// ReadyPeriod is the time between two probes of each gateway's readiness, as by the
	// platform's load balancer; zero means DefaultReadyPeriod.
	ReadyPeriod standin.Duration `json:"ready_period"`
	Streams     []Stream         `json:"streams"`
	Events      []Event          `json:"events"`
}

// Stream is a flow of requests by one caller.
type Stream struct {
	// Caller is the caller's name; empty means the name of the search.
	Caller string `json:"caller"`
	// Token is the caller's bearer token; empty means the one that the stand-ins
	// assign to the caller.
	Token  string `json:"token"`
	Search string `json:"search"`
	// Rate is in requests per second; zero means DefaultRate.
	Rate float64 `json:"rate"`
	// EvenlySpaced selects constant intervals between requests instead of Poisson
	// arrivals.
	EvenlySpaced bool `json:"even"`
	// From and To bound the stream within the run; a zero To means the end of the run.
	From standin.Duration `json:"from"`
	To   standin.Duration `json:"to"`
	// Deadline is the time that each request allows for its response; zero means
	// DefaultDeadline.
	Deadline standin.Duration `json:"deadline"`
	// ActionFraction is the fraction of requests, from 0 to 1, that are not idempotent.
	ActionFraction float64 `json:"actions"`
	// MaxInProgress bounds the requests in progress. A request that is due beyond
	// the bound is dropped. Zero means DefaultMaxInProgress.
	MaxInProgress int `json:"in_flight"`
}

// Event is a change of all stand-ins at a time within the run.
type Event struct {
	At   standin.Duration `json:"at"`
	Name string           `json:"name"`
	// Each of these changes that is set is made at every stand-in.
	Targets *standin.TargetChange `json:"targets,omitempty"`
	Folder  *standin.FolderChange `json:"folder,omitempty"`
	Config  *standin.ConfigFault  `json:"config,omitempty"`
	Cables  *standin.CableChange  `json:"cables,omitempty"`
}

// ParsePlan parses a plan in JSON with comments. Unknown fields are an error.
func ParsePlan(data []byte) (Plan, error) {
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return Plan{}, errors.Annotate(err, "parse plan")
	}
	var p Plan
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		return Plan{}, errors.Annotate(err, "parse plan")
	}
	return p, nil
}

// setDefaultsAndValidate sets defaults for zero fields and checks that the plan can
// be run and is within the bounds of a run.
func (p *Plan) setDefaultsAndValidate() error {
	p.Duration = cmp.Or(p.Duration, standin.Duration(DefaultDuration))
	p.Interval = cmp.Or(p.Interval, standin.Duration(DefaultInterval))
	p.ReadyPeriod = cmp.Or(p.ReadyPeriod, standin.Duration(DefaultReadyPeriod))
	requests := 0.0
	for i := range p.Streams {
		s := &p.Streams[i]
		s.Rate = cmp.Or(s.Rate, DefaultRate)
		s.Deadline = cmp.Or(s.Deadline, standin.Duration(DefaultDeadline))
		s.MaxInProgress = cmp.Or(s.MaxInProgress, DefaultMaxInProgress)
		s.Caller = cmp.Or(s.Caller, s.Search)
		s.Token = cmp.Or(s.Token, standin.Token(s.Caller))
		if s.To == 0 || s.To > p.Duration {
			s.To = p.Duration
		}
		requests += s.Rate * (s.To - s.From).Std().Seconds()
	}
	switch {
	case len(p.Gateways) == 0, len(p.Standins) == 0, len(p.Streams) == 0:
		return errors.NotValidf("plan without gateways, stand-ins or streams")
	case p.Duration.Std() > MaxDuration:
		return errors.NotValidf("duration above %v", MaxDuration)
	case requests > MaxRequests:
		return errors.NotValidf("plan of %.0f requests (at most %d)", requests, MaxRequests)
	}
	return nil
}
