package settings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goldcrestmux/goldcrestmux/jsonc"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// option is one setting. It implements flag.Value. Set accepts any text, so that
// all faults can be reported together after all sources were read.
type option struct {
	name string // name of the flag; fileKey returns the key in a file
	help string
	// defaultText is the default value as text. A setting without one is required.
	defaultText string
	allowed     string
	kind        jsonc.Kind // kind of the value in a file
	// store parses text, stores the value in the settings and reports whether text
	// is valid.
	store func(text string) bool

	text string
	// origin is the place in a file that set text. It is zero for other sources.
	origin jsonc.Origin
	// currentOrigin points to the origin of the value that is passed to Set.
	currentOrigin *jsonc.Origin
}

// String returns the text of the setting.
func (o *option) String() string { return o.text }

// Set stores text and its origin.
func (o *option) Set(text string) error {
	o.text = text
	o.origin = *o.currentOrigin
	return nil
}

// fileKey returns the key of the setting in a file, in which "_" replaces "-".
func (o *option) fileKey() string { return strings.ReplaceAll(o.name, "-", "_") }

// envKey returns the environment variable of the setting.
func (o *option) envKey() string { return EnvPrefix + "_" + strings.ToUpper(o.fileKey()) }

// Bounds of settings.
const (
	minDuration  = 10 * time.Millisecond
	maxDuration  = time.Hour
	maxPeers     = 64
	maxBodyBytes = 64 << 20
	maxCount     = 1_000_000
)

// options returns the options of the role of s. Their values are stored in s.
func options(s *Settings) []*option {
	list := []*option{
		nameOption("vm", "name of the VM that the process runs on", &s.VM),
		nameOption("data-centre", "data centre of the VM", &s.DataCentre),
		nameOption("region", "region of the data centre", &s.Region),
		urlsOption("folder-url", "base URLs of the configuration service, tried in order", &s.FolderURLs),
		urlOption("vm-list-url", "base URL of the platform's VM list", &s.VMListURL),
		levelOption("log-level", "initial minimum level of log lines", "info", &s.LogLevel),
		choiceOption("log-format", "format of log lines", &s.LogFormat, LogText, LogJSON),
		durationOption("vm-list-poll", "interval between two reads of the VM list", "1s", &s.VMListPollInterval),
		durationOption("heartbeat", "interval between two heartbeats to one peer or link", "500ms", &s.HeartbeatInterval),
		countOption("peers", "number of processes that a process sends heartbeats to", "4", 1, maxPeers, &s.Peers),
		durationOption("stop-timeout", "timeout of a graceful shutdown", "30s", &s.StopTimeout),
	}
	if s.Role == wire.RoleRelay {
		return append(list, relayOptions(s)...)
	}
	return append(list, gatewayOptions(s)...)
}

func gatewayOptions(s *Settings) []*option {
	return []*option{
		addressOption("api-listen", "listen address for callers", "127.0.0.1:8080", &s.APIListen),
		addressOption("link-listen", "listen address for other processes of the system", "127.0.0.1:7100", &s.LinkListen),
		addressOption("operator-listen", "listen address of the operators' pages", "127.0.0.1:7101", &s.OperatorListen),
		durationOption("linger", "how long a gateway accepts new requests after it begins to stop, because the platform's load balancer reacts with a delay; below stop-timeout", "5s", &s.Linger),
		countOption("max-body-bytes", "maximum size of the body of a caller's request, in bytes", "1048576", 1, maxBodyBytes, &s.MaxBodyBytes),
		countOption("concurrency", "maximum number of callers' requests in progress", "256", 1, maxCount, &s.Concurrency),
		countOption("queue-length", "maximum number of callers' requests in the queue", "512", 0, maxCount, &s.QueueLength),
		choiceOption("admission", "admission policy for callers' requests", &s.Admission, AdmissionAdaptive, AdmissionFixed, AdmissionFIFO),
		choiceOption("hedging", "when a hedge is sent for a shard", &s.Hedging, HedgingAdaptive, HedgingFixed, HedgingOff),
		choiceOption("replica-choice", "how a replica is chosen", &s.ReplicaChoice, ReplicaChoiceP2C, ReplicaChoiceRandom),
	}
}

func relayOptions(s *Settings) []*option {
	return []*option{
		addressOption("link-listen", "listen address for other processes of the system", "127.0.0.1:7200", &s.LinkListen),
		addressOption("operator-listen", "listen address of the operators' pages", "127.0.0.1:7201", &s.OperatorListen),
		durationOption("fencing-delay", "time from the removal of a relay from the VM list until other relays may use its permits; 1% above vm-list-lag, vm-list-max-age, handover-wait and quiet-period together, and above twice vm-list-lag and vm-list-max-age together", "15s", &s.FencingDelay),
		durationOption("vm-list-max-age", "age of the copy of the VM list above which no permits are used; at least twice vm-list-poll", "3s", &s.VMListMaxAge),
		durationOption("vm-list-lag", "how far, at most, the VM list that the platform serves lags behind the platform's current list", "4s", &s.VMListLag),
		durationOption("handover-wait", "how long a relay continues to use a permit whose new owner has not requested its release", "5s", &s.HandoverWait),
		durationOption("quiet-period", "maximum time that a request runs at a target after it was sent", "2s", &s.QuietPeriod),
		durationOption("start-delay", "how long a relay waits before it uses permits if no relay that it reaches has a complete history of the VM list; a value below fencing-delay risks an overlap with a relay that was removed shortly before", "15s", &s.StartDelay),
		countOption("workers", "number of workers that send requests to targets", "256", 1, maxCount, &s.Workers),
		countOption("target-queue", "maximum number of sub-requests in the queue of one target", "32", 0, maxCount, &s.TargetQueue),
		choiceOption("permits", "how a target's limit is divided among relays; per-vm exceeds limits and is only a baseline for measurements", &s.Permits, PermitsOwned, PermitsPerVM),
	}
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,63}$`)

func nameOption(name, help string, to *string) *option {
	return &option{
		name: name, help: help, kind: jsonc.String,
		allowed: `1 to 64 letters, digits, "-" and "_", the first a letter or digit`,
		store: func(text string) bool {
			*to = text
			return namePattern.MatchString(text)
		},
	}
}

func addressOption(name, help, defaultText string, to *string) *option {
	return &option{
		name: name, help: help, defaultText: defaultText, kind: jsonc.String,
		allowed: "an IP address with a port, such as \"10.1.2.3:7100\"; port 0 selects a free port",
		store: func(text string) bool {
			*to = text
			_, err := netip.ParseAddrPort(text)
			return err == nil
		},
	}
}

func isBaseURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") &&
		u.Host != "" && u.RawQuery == "" && u.Fragment == ""
}

func urlOption(name, help string, to *string) *option {
	return &option{
		name: name, help: help, kind: jsonc.String,
		allowed: "a URL such as \"http://10.1.2.3:7000\"",
		store: func(text string) bool {
			*to = strings.TrimSuffix(text, "/")
			return isBaseURL(text)
		},
	}
}

func urlsOption(name, help string, to *[]string) *option {
	return &option{
		name: name, help: help, kind: jsonc.Array,
		allowed: "URLs such as \"http://10.1.2.3:7000\", as a list in a file, otherwise separated by commas",
		store: func(text string) bool {
			*to = nil
			for _, u := range strings.Split(text, ",") {
				if !isBaseURL(u) {
					return false
				}
				*to = append(*to, strings.TrimSuffix(u, "/"))
			}
			return true
		},
	}
}

func levelOption(name, help, defaultText string, to *slog.Level) *option {
	return &option{
		name: name, help: help, defaultText: defaultText, kind: jsonc.String,
		allowed: "debug, info, warn or error",
		store:   func(text string) bool { return to.UnmarshalText([]byte(text)) == nil },
	}
}

// choiceOption returns an option that accepts one of values. The first one is the
// default.
func choiceOption[T ~string](name, help string, to *T, values ...T) *option {
	names := make([]string, len(values))
	for i, v := range values {
		names[i] = string(v)
	}
	return &option{
		name: name, help: help, defaultText: names[0], kind: jsonc.String,
		allowed: strings.Join(names, " or "),
		store: func(text string) bool {
			*to = T(text)
			return slices.Contains(values, T(text))
		},
	}
}

func durationOption(name, help, defaultText string, to *time.Duration) *option {
	return &option{
		name: name, help: help, defaultText: defaultText, kind: jsonc.String,
		allowed: fmt.Sprintf("a duration with a unit such as \"500ms\" or \"2s\", from %v to %v", minDuration, maxDuration),
		store: func(text string) bool {
			d, err := time.ParseDuration(text)
			*to = d
			return err == nil && d >= minDuration && d <= maxDuration
		},
	}
}

func countOption(name, help, defaultText string, minimum, maximum int, to *int) *option {
	return &option{
		name: name, help: help, defaultText: defaultText, kind: jsonc.Number,
		allowed: fmt.Sprintf("a whole number from %d to %d", minimum, maximum),
		store: func(text string) bool {
			n, err := strconv.Atoi(text)
			*to = n
			return err == nil && n >= minimum && n <= maximum
		},
	}
}
