// Package settings parses the settings of a process from flags, environment
// variables and a file of JSON with comments, in this order of precedence.
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

// EnvPrefix is the prefix of the environment variables: the setting vm-list-url
// is read from GCMUX_VM_LIST_URL.
const EnvPrefix = "GCMUX"

// Settings holds the settings of one process. It is not modified after Parse.
type Settings struct {
	// Role is the role of the process. It is derived from the name of the program.
	Role wire.Role
	// VM is the name of the VM that the process runs on.
	VM string
	// DataCentre is the name of the data centre of the VM.
	DataCentre string
	// Region is the name of the region of the data centre.
	Region string

	// APIListen is the IP address and port of the listener for callers; gateways
	// only.
	APIListen string
	// LinkListen is the IP address and port of the listener for other processes of
	// the system.
	LinkListen string
	// OperatorListen is the IP address and port of the operators' pages.
	OperatorListen string

	// FolderURLs holds the base URLs of the configuration service, tried in order.
	FolderURLs []string
	// VMListURL is the base URL of the platform's VM list.
	VMListURL string

	// LogLevel is the initial minimum level of log lines.
	LogLevel slog.Level
	// LogFormat is the format of log lines.
	LogFormat LogFormat

	// FencingDelay is the time from the removal of a relay from the VM list until
	// other relays may use its permits; relays only.
	FencingDelay time.Duration
	// VMListMaxAge is the age of the copy of the VM list above which a relay uses no
	// permits; relays only.
	VMListMaxAge time.Duration
	// VMListLag is how far, at most, the VM list that the platform serves lags
	// behind the platform's current list; relays only.
	VMListLag time.Duration
	// HandoverWait is how long a relay continues to use a permit whose new owner
	// has not requested its release; relays only.
	HandoverWait time.Duration
	// QuietPeriod is the maximum time that a request runs at a target after it was
	// sent; relays only.
	QuietPeriod time.Duration
	// StartDelay is how long a relay waits before it uses permits if no relay that
	// it reaches has a complete history of the VM list; relays only.
	StartDelay time.Duration
	// VMListPollInterval is the interval between two reads of the VM list.
	VMListPollInterval time.Duration
	// HeartbeatInterval is the interval between two heartbeats to one peer or link.
	HeartbeatInterval time.Duration
	// Peers is the number of processes that a process sends heartbeats to.
	Peers int
	// StopTimeout is the timeout of a graceful shutdown.
	StopTimeout time.Duration

	// Linger is how long a gateway accepts new requests after it begins to stop,
	// because the platform's load balancer reacts with a delay; gateways only.
	Linger time.Duration

	// MaxBodyBytes is the maximum size of the body of a caller's request; gateways
	// only.
	MaxBodyBytes int
	// Concurrency is the maximum number of callers' requests in progress; gateways
	// only.
	Concurrency int
	// QueueLength is the maximum number of callers' requests in the queue; gateways
	// only.
	QueueLength int

	// Workers is the number of workers that send requests to targets; relays only.
	Workers int
	// TargetQueue is the maximum number of sub-requests in the queue of one target;
	// relays only.
	TargetQueue int

	// Admission is the admission policy for callers' requests; gateways only.
	Admission Admission
	// Hedging determines when a hedge is sent for a shard; gateways only.
	Hedging Hedging
	// ReplicaChoice determines how a replica is chosen; gateways only.
	ReplicaChoice ReplicaChoice
	// Permits determines how the limit of a target is divided among relays; relays
	// only.
	Permits Permits
}

// LogFormat is the format of log lines.
type LogFormat string

// Log formats.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Admission is an admission policy for callers' requests.
type Admission string

// Admission policies.
const (
	// AdmissionAdaptive adapts the limit of requests in progress, divides it among
	// callers and rejects requests that cannot meet their deadline.
	AdmissionAdaptive Admission = "adaptive"
	// AdmissionFixed keeps the limit constant.
	AdmissionFixed Admission = "fixed"
	// AdmissionFIFO keeps the limit constant, serves requests in order of arrival
	// and does not reject requests that cannot meet their deadline.
	AdmissionFIFO Admission = "fifo"
)

// Hedging is a policy for sending hedges.
type Hedging string

// Hedging policies.
const (
	// HedgingAdaptive sends a hedge after a percentile of recent latencies.
	HedgingAdaptive Hedging = "adaptive"
	// HedgingFixed sends a hedge after a fixed delay.
	HedgingFixed Hedging = "fixed"
	// HedgingOff sends no hedges.
	HedgingOff Hedging = "off"
)

// ReplicaChoice is a policy for choosing a replica.
type ReplicaChoice string

// Replica choices.
const (
	// ReplicaChoiceP2C chooses the better of two random replicas.
	ReplicaChoiceP2C ReplicaChoice = "p2c"
	// ReplicaChoiceRandom chooses a random replica.
	ReplicaChoiceRandom ReplicaChoice = "random"
)

// Permits is a policy for dividing the limit of a target among relays.
type Permits string

// Permit policies.
const (
	// PermitsOwned gives each permit to one relay of the fleet.
	PermitsOwned Permits = "owned"
	// PermitsPerVM lets each relay use the whole limit of a target. Two relays can
	// exceed the limit, so the policy is only a baseline for measurements.
	PermitsPerVM Permits = "per-vm"
)

// Parse parses the settings of the program with the given name, such as
// "gcmux-relay". The part of the name after the last "-" is the role. args does
// not include the name. Parse writes only help to stderr.
//
// The error is flag.ErrHelp if help was requested and printed, and otherwise an
// *Error that holds all faults.
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

// PermitOptions returns the durations that determine the ownership of permits.
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

// Logger returns a logger that writes to w, and its level, which can be changed
// at any time.
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
