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

// option is one setting. It implements flag.Value. Set takes any text, so that
// all faults can be reported together after the last source was read.
type option struct {
	name string // as a flag; in a file "_" takes the place of "-"
	help string
	// fallback is the default as text; a setting without one is required.
	fallback string
	allowed  string
	kind     jsonc.Kind // in a file
	// store parses text and stores it in the settings. It reports whether the
	// text is accepted.
	store func(text string) bool

	text string
	// origin is the place in a file that set text; zero for other sources.
	origin jsonc.Origin
	// from tells where Set is called from at present.
	from *jsonc.Origin
}

// String returns the setting as text.
func (o *option) String() string { return o.text }

// Set takes text from the present origin.
func (o *option) Set(text string) error {
	o.text = text
	o.origin = *o.from
	return nil
}

// fileKey returns the setting's key in a file.
func (o *option) fileKey() string { return strings.ReplaceAll(o.name, "-", "_") }

// envKey returns the setting's environment variable.
func (o *option) envKey() string { return EnvPrefix + "_" + strings.ToUpper(o.fileKey()) }

// Bounds of settings.
const (
	minInterval  = 10 * time.Millisecond
	maxInterval  = time.Hour
	maxPeers     = 64
	maxBodyBytes = 64 << 20
	maxCount     = 1_000_000
)

// options returns the settings of the role, stored in s.
func options(s *Settings) []*option {
	list := []*option{
		nameOption("vm", "name of the VM that the process runs on", &s.VM),
		nameOption("data-centre", "data centre that the VM stands in", &s.DataCentre),
		nameOption("region", "region of the data centre", &s.Region),
		urlsOption("folder-url", "base URLs of the configuration service, tried in order", &s.FolderURLs),
		urlOption("vm-list-url", "base URL of the platform's VM list", &s.VMListURL),
		levelOption("log-level", "least level that is logged at the start", "info", &s.LogLevel),
		choiceOption("log-format", "format of log lines", &s.LogFormat, LogText, LogJSON),
		durationOption("vm-list-poll", "interval between two reads of the VM list", "1s", &s.VMListPollInterval),
		durationOption("heartbeat", "interval between two heartbeats to one peer or link", "500ms", &s.HeartbeatInterval),
		countOption("peers", "number of processes that heartbeats go to", "4", 1, maxPeers, &s.Peers),
		durationOption("stop-timeout", "bound of a graceful shutdown", "30s", &s.StopTimeout),
	}
	if s.Role == wire.RoleRelay {
		return append(list, relayOptions(s)...)
	}
	return append(list, gatewayOptions(s)...)
}

func gatewayOptions(s *Settings) []*option {
	return []*option{
		addressOption("api-listen", "address that callers reach", "127.0.0.1:8080", &s.APIListen),
		addressOption("link-listen", "address that other processes of the system reach", "127.0.0.1:7100", &s.LinkListen),
		addressOption("operator-listen", "address of the operators' pages", "127.0.0.1:7101", &s.OperatorListen),
		durationOption("linger", "how long a gateway that stops still takes new requests, because the platform's balancer lags; below stop-timeout", "5s", &s.Linger),
		countOption("max-body-bytes", "largest body of a caller's request, in bytes", "1048576", 1, maxBodyBytes, &s.MaxBodyBytes),
		countOption("concurrency", "number of callers' requests in progress", "256", 1, maxCount, &s.Concurrency),
		countOption("queue-length", "number of callers' requests that wait", "512", 0, maxCount, &s.QueueLength),
		choiceOption("admission", "which requests of callers run and which wait", &s.Admission, AdmissionAdaptive, AdmissionFixed, AdmissionFIFO),
		choiceOption("hedging", "when a shard is asked a second time", &s.Hedging, HedgingAdaptive, HedgingFixed, HedgingOff),
		choiceOption("replica-choice", "how a replica is picked", &s.ReplicaChoice, ReplicaChoiceP2C, ReplicaChoiceRandom),
	}
}

func relayOptions(s *Settings) []*option {
	return []*option{
		addressOption("link-listen", "address that other processes of the system reach", "127.0.0.1:7200", &s.LinkListen),
		addressOption("operator-listen", "address of the operators' pages", "127.0.0.1:7201", &s.OperatorListen),
		durationOption("fencing-delay", "time between the VM list's dropping an owner of permits and their use by another relay; at least vm-list-lag, vm-list-max-age, handover-wait and quiet-period together", "15s", &s.FencingDelay),
		durationOption("vm-list-max-age", "age of the VM list from which on permits stay unused; at least twice vm-list-poll", "3s", &s.VMListMaxAge),
		durationOption("vm-list-lag", "bound on how far the platform's answer lags behind its own list of VMs", "4s", &s.VMListLag),
		durationOption("handover-wait", "how long a permit with a new owner stays in use until that owner asks for it", "5s", &s.HandoverWait),
		durationOption("quiet-period", "bound on how long work runs at a target after it was sent", "2s", &s.QuietPeriod),
		durationOption("start-delay", "how long a relay that reaches no informed relay waits before it uses permits; a value below fencing-delay risks an overlap with a relay that was dropped shortly before", "15s", &s.StartDelay),
		countOption("workers", "number of workers that send to targets", "256", 1, maxCount, &s.Workers),
		countOption("target-queue", "number of sub-requests that wait for one target", "32", 0, maxCount, &s.TargetQueue),
		choiceOption("permits", "how a target's limit is divided among relays; per-vm breaks limits and is for measurements", &s.Permits, PermitsOwned, PermitsPerVM),
	}
}

var nameShape = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,63}$`)

func nameOption(name, help string, to *string) *option {
	return &option{
		name: name, help: help, kind: jsonc.String,
		allowed: `1 to 64 letters, digits, "-" and "_", the first a letter or digit`,
		store: func(text string) bool {
			*to = text
			return nameShape.MatchString(text)
		},
	}
}

func addressOption(name, help, fallback string, to *string) *option {
	return &option{
		name: name, help: help, fallback: fallback, kind: jsonc.String,
		allowed: "an IP number with a port, such as \"10.1.2.3:7100\"; port 0 takes a free one",
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
		allowed: "URLs such as \"http://10.1.2.3:7000\", in a file a list, else separated by commas",
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

func levelOption(name, help, fallback string, to *slog.Level) *option {
	return &option{
		name: name, help: help, fallback: fallback, kind: jsonc.String,
		allowed: "debug, info, warn or error",
		store:   func(text string) bool { return to.UnmarshalText([]byte(text)) == nil },
	}
}

// choiceOption takes one of values, of which the first is the default.
func choiceOption[T ~string](name, help string, to *T, values ...T) *option {
	words := make([]string, len(values))
	for i, v := range values {
		words[i] = string(v)
	}
	return &option{
		name: name, help: help, fallback: words[0], kind: jsonc.String,
		allowed: strings.Join(words, " or "),
		store: func(text string) bool {
			*to = T(text)
			return slices.Contains(values, T(text))
		},
	}
}

func durationOption(name, help, fallback string, to *time.Duration) *option {
	return &option{
		name: name, help: help, fallback: fallback, kind: jsonc.String,
		allowed: fmt.Sprintf("a duration with a unit such as \"500ms\" or \"2s\", from %v to %v", minInterval, maxInterval),
		store: func(text string) bool {
			d, err := time.ParseDuration(text)
			*to = d
			return err == nil && d >= minInterval && d <= maxInterval
		},
	}
}

func countOption(name, help, fallback string, least, most int, to *int) *option {
	return &option{
		name: name, help: help, fallback: fallback, kind: jsonc.Number,
		allowed: fmt.Sprintf("a whole number from %d to %d", least, most),
		store: func(text string) bool {
			n, err := strconv.Atoi(text)
			*to = n
			return err == nil && n >= least && n <= most
		},
	}
}
