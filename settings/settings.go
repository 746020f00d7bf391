// Package settings reads the settings of a process: from flags, from the
// environment, and from a file of JSON with comments, in this order of
// precedence.
package settings

import (
	"flag"
	"io"
	"log/slog"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/permit"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// EnvPrefix starts the name of each environment variable: the setting
// vm-list-url is read from GCMUX_VM_LIST_URL.
const EnvPrefix = "GCMUX"

// Settings holds the settings of one process. It is not changed after Parse.
type Settings struct {
	// Role is the process's role. It follows from the program's name.
	Role wire.Role
	// VM names the VM that the process runs on.
	VM string
	// DataCentre names the data centre that the VM stands in.
	DataCentre string
	// Region names the region of the data centre.
	Region string

	// APIListen is the IP number and port that callers reach; gateways only.
	APIListen string
	// LinkListen is the IP number and port that other processes of the system reach.
	LinkListen string
	// OperatorListen is the IP number and port of the operators' pages.
	OperatorListen string

	// FolderURLs holds the base URLs of the configuration service, tried in order.
	FolderURLs []string
	// VMListURL is the base URL of the platform's VM list.
	VMListURL string

	// LogLevel is the least level that is logged at the start.
	LogLevel slog.Level
	// LogFormat is the format of log lines.
	LogFormat LogFormat

	// FencingDelay is the time between the moment that the VM list drops an
	// owner of permits and the moment that another relay uses them.
	FencingDelay time.Duration
	// VMListMaxAge is the age of the VM list from which on permits stay unused.
	VMListMaxAge time.Duration
	// VMListLag bounds how far the platform's answer lags behind its own list.
	VMListLag time.Duration
	// HandoverWait is how long a relay goes on using a permit that has another
	// owner by now and that the new owner hasn't asked for; relays only.
	HandoverWait time.Duration
	// QuietPeriod bounds how long work runs at a target after it was sent; relays only.
	QuietPeriod time.Duration
	// StartDelay is how long a relay that reaches no informed relay waits before
	// it uses permits; relays only.
	StartDelay time.Duration
	// VMListPollInterval is the interval between two reads of the VM list.
	VMListPollInterval time.Duration
	// HeartbeatInterval is the interval between two heartbeats to one peer or link.
	HeartbeatInterval time.Duration
	// Peers is the number of processes that heartbeats go to.
	Peers int
	// StopTimeout bounds a graceful shutdown.
	StopTimeout time.Duration

	// Linger is how long a gateway that stops still takes new requests, because
	// the platform's balancer lags; gateways only.
	Linger time.Duration

	// MaxBodyBytes bounds the body of a caller's request; gateways only.
	MaxBodyBytes int
	// Concurrency is the number of callers' requests in progress; gateways only.
	Concurrency int
	// QueueLength is the number of callers' requests that wait; gateways only.
	QueueLength int

	// Workers is the number of workers that send to targets; relays only.
	Workers int
	// TargetQueue is the number of sub-requests that wait for one target; relays only.
	TargetQueue int

	// Admission tells which requests of callers run and which wait; gateways only.
	Admission Admission
	// Hedging tells when a shard is asked a second time; gateways only.
	Hedging Hedging
	// ReplicaChoice tells how a replica is picked; gateways only.
	ReplicaChoice ReplicaChoice
	// Permits tells how a target's limit is divided among relays; relays only.
	Permits Permits
}

// LogFormat is the format of log lines.
type LogFormat string

// Log formats.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Admission is the policy for requests of callers.
type Admission string

// Admission policies.
const (
	// AdmissionAdaptive adapts the number of requests in progress, shares it
	// between callers and drops what can't be met.
	AdmissionAdaptive Admission = "adaptive"
	// AdmissionFixed keeps the number of requests in progress.
	AdmissionFixed Admission = "fixed"
	// AdmissionFIFO keeps it, serves in order of arrival and drops nothing.
	AdmissionFIFO Admission = "fifo"
)

// Hedging is the policy for second attempts.
type Hedging string

// Hedging policies.
const (
	// HedgingAdaptive waits for a percentile of the recent latencies.
	HedgingAdaptive Hedging = "adaptive"
	// HedgingFixed waits for a fixed time.
	HedgingFixed Hedging = "fixed"
	// HedgingOff sends no hedges.
	HedgingOff Hedging = "off"
)

// ReplicaChoice is the policy for picking a replica.
type ReplicaChoice string

// Replica choices.
const (
	// ReplicaChoiceP2C takes the better of two random replicas.
	ReplicaChoiceP2C ReplicaChoice = "p2c"
	// ReplicaChoiceRandom takes any replica.
	ReplicaChoiceRandom ReplicaChoice = "random"
)

// Permits is the policy for dividing a target's limit.
type Permits string

// Permit policies.
const (
	// PermitsOwned gives each permit to one relay of the fleet.
	PermitsOwned Permits = "owned"
	// PermitsPerVM lets each relay use the target's whole limit. It breaks the
	// limit as soon as there are two relays, and serves as a baseline to measure against.
	PermitsPerVM Permits = "per-vm"
)

// Parse reads the settings of the program with the given name, whose role is
// the part after the last "-", such as "gcmux-relay". args leaves out the
// program's name. It prints help and nothing else to stderr.
//
// The error is flag.ErrHelp after help was asked for and printed, and
// otherwise an *Error that holds every fault that was found.
func Parse(name string, args []string, stderr io.Writer) (*Settings, error) {
	s := &Settings{Role: wire.Role(name[strings.LastIndexByte(name, '-')+1:])}
	p := newParser(name, s)
	help, err := p.parse(args)
	if help {
		p.printHelp(stderr)
		return nil, flag.ErrHelp
	}
	if err != nil {
		return nil, err
	}
	return s, nil
}

// PermitOptions returns the times of the ownership of permits.
func (s *Settings) PermitOptions() permit.Options {
	return permit.Options{
		FencingDelay: s.FencingDelay,
		VMListMaxAge: s.VMListMaxAge,
		VMListLag:    s.VMListLag,
		HandoverWait: s.HandoverWait,
		QuietPeriod:  s.QuietPeriod,
		StartDelay:   s.StartDelay,
	}
}

// Logger returns a logger that writes to w, and its level, which may be
// changed while the process runs.
func (s *Settings) Logger(w io.Writer) (*slog.Logger, *slog.LevelVar) {
	level := new(slog.LevelVar)
	level.Set(s.LogLevel)
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewTextHandler(w, options)
	if s.LogFormat == LogJSON {
		handler = slog.NewJSONHandler(w, options)
	}
	logger := slog.New(handler).With("role", s.Role, "vm", s.VM, "data_centre", s.DataCentre)
	return logger, level
}
