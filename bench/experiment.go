// Package bench runs experiments: the same load, with the same seed and events,
// on tiers with different settings, and compares their figures.
//
// The variants of an experiment run one after the other, each on its own fresh
// stand-in and processes: at the same time they would take processor time from
// each other, and the figures would tell of that.
package bench

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"github.com/goldcrestmux/goldcrestmux/load"
	"github.com/goldcrestmux/goldcrestmux/proc"
	"github.com/goldcrestmux/goldcrestmux/standin"
)

// Defaults of an experiment.
const (
	DefaultVMs        = 3
	DefaultWarmupRate = 60 // requests per second of each search
)

// Experiment is a load with events, run on several variants of a tier. In
// files it is JSON with comments.
type Experiment struct {
	Name string `json:"name"`
	// Description says in a sentence what the experiment shows.
	Description string `json:"about"`
	// StandinArgs holds arguments of the stand-in.
	StandinArgs []string `json:"standin"`
	// VMs is the number of VMs, each with a gateway and a relay.
	VMs int `json:"vms"`
	// Files are put into the folder before the tier starts.
	Files []File `json:"files"`
	// WarmupRate is the rate of requests, per second and search, that warms the
	// targets before the load.
	WarmupRate float64 `json:"warm_rate"`
	// Settle is how long the load itself, without events, runs before it is
	// measured, so that windows and estimates are filled.
	Settle standin.Duration `json:"settle"`
	// Load is the load; its gateways, stand-ins and events are set by the run.
	Load load.Plan `json:"load"`
	// Events happen during the load, at times counted from its start.
	Events []Event `json:"events"`
	// WatchedTargets names the targets whose return to their full share is timed.
	WatchedTargets []string `json:"watch"`
	// Variants are run in order. The first has the settings under test, and
	// the others are baselines.
	Variants []Variant `json:"variants"`
	Goals    []Goal    `json:"goals"`
}

// File is a file of the folder.
type File struct {
	Name    string          `json:"name"`
	Content json.RawMessage `json:"content"`
}

// Event is one change during the load.
type Event struct {
	At   standin.Duration `json:"at"`
	Name string           `json:"name"`
	// Targets and Config are changes of the stand-in.
	Targets *standin.TargetChange `json:"targets"`
	Config  *standin.ConfigFault  `json:"config"`
	// Put and Remove change the folder.
	Put    *File  `json:"put"`
	Remove string `json:"remove"`
	// ReplaceVMs replaces all VMs, one after the other.
	ReplaceVMs bool `json:"replace_vms"`
}

// Variant is a tier with its own settings.
type Variant struct {
	Name string `json:"name"`
	// GatewayArgs, RelayArgs and StandinArgs hold arguments beyond the common ones.
	GatewayArgs []string `json:"gateway"`
	RelayArgs   []string `json:"relay"`
	StandinArgs []string `json:"standin"`
	// SkipEvents leaves the events out.
	SkipEvents bool `json:"calm"`
	// RateFactor multiplies the rate of all streams; zero means 1.
	RateFactor float64 `json:"rate_factor"`
}

// Goal is a bound on a figure, or on its ratio to that of another variant.
type Goal struct {
	Figure FigureName `json:"figure"`
	// Stream selects the figures of one stream, named caller/search; empty
	// means the total.
	Stream string `json:"stream"`
	// Variant is the one that is judged; empty means the first.
	Variant string `json:"variant"`
	// RatioTo names the variant by whose figure it is divided; empty for none.
	RatioTo string `json:"ratio_to"`
	// AtMost and AtLeast are the bounds; one of them is set.
	AtMost  *float64 `json:"at_most"`
	AtLeast *float64 `json:"at_least"`
}

// Read reads an experiment from a file.
func Read(file string) (*Experiment, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Annotate(err, file)
	}
	x := &Experiment{VMs: DefaultVMs, WarmupRate: DefaultWarmupRate}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(x); err != nil {
		return nil, errors.Annotate(err, file)
	}
	return x, errors.Annotate(x.check(), file)
}

// check finds goals that name no variant or no figure.
func (x *Experiment) check() error {
	if len(x.Variants) == 0 {
		return errors.NotValidf("experiment without variants")
	}
	for i := range x.Goals {
		g := &x.Goals[i]
		if g.Variant == "" {
			g.Variant = x.Variants[0].Name
		}
		if !x.has(g.Variant) || g.RatioTo != "" && !x.has(g.RatioTo) {
			return errors.NotFoundf("variant of goal %d", i+1)
		}
		if _, ok := figures[g.Figure]; !ok {
			return errors.NotFoundf("figure %q", g.Figure)
		}
		if (g.AtMost == nil) == (g.AtLeast == nil) {
			return errors.NotValidf("goal %d without one bound", i+1)
		}
	}
	return nil
}

func (x *Experiment) has(variant string) bool {
	for i := range x.Variants {
		if x.Variants[i].Name == variant {
			return true
		}
	}
	return false
}

// searches returns the searches that the load asks.
func (x *Experiment) searches() []string {
	var out []string
	for _, s := range x.Load.Streams {
		out = append(out, s.Search)
	}
	return out
}

// plan returns the load of a variant on a tier.
func (x *Experiment) plan(v *Variant, t *tier) load.Plan {
	p := x.Load
	p.Name = x.Name + ", " + v.Name
	p.Gateways = t.gateways()
	p.Standins = []string{t.standin.Addresses()[proc.ListenAdmin]}
	p.Streams = append([]load.Stream(nil), p.Streams...)
	for i := range p.Streams {
		if v.RateFactor > 0 {
			p.Streams[i].Rate *= v.RateFactor
		}
	}
	if v.SkipEvents {
		return p
	}
	for _, e := range x.Events {
		if !e.ReplaceVMs {
			p.Events = append(p.Events, e.change())
		}
	}
	return p
}

func (e *Event) change() load.Event {
	out := load.Event{At: e.At, Name: e.Name, Targets: e.Targets, Config: e.Config}
	if e.Put != nil {
		out.Folder = &standin.FolderChange{Put: []standin.File{{Name: e.Put.Name, Data: e.Put.Content}}}
	}
	if e.Remove != "" {
		out.Folder = &standin.FolderChange{Remove: []string{e.Remove}}
	}
	return out
}
