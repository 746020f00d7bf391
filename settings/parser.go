package settings

import (
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"

	"github.com/goldcrestmux/goldcrestmux/jsonc"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Error is the error that Parse returns for invalid settings. Faults holds at
// least one fault. The File of a fault is the settings file, the flag and the
// environment variable of a setting, or the program.
type Error struct {
	Faults []jsonc.Fault
}

// Error returns the faults, one per line.
func (e *Error) Error() string { return jsonc.JoinFaults(e.Faults) }

// configFlag is the name of the flag that holds the path of the settings file.
const configFlag = "config"

// parser parses the settings of one process from all sources.
type parser struct {
	name     string
	settings *Settings
	options  []*option
	flags    *flag.FlagSet
	path     string // path of the settings file
	// origin is the place of the value that is being set. It is zero outside of a
	// file.
	origin jsonc.Origin
	faults []jsonc.Fault
	// incomplete is true if a source could not be read. Missing settings are then
	// not reported.
	incomplete bool
}

func newParser(name string, s *Settings) *parser {
	p := &parser{name: name, settings: s, options: options(s)}
	p.flags = flag.NewFlagSet(name, flag.ContinueOnError)
	p.flags.SetOutput(io.Discard)
	p.flags.StringVar(&p.path, configFlag, "", "")
	for _, o := range p.options {
		o.text = o.defaultText
		o.currentOrigin = &p.origin
		p.flags.Var(o, o.name, o.help)
	}
	return p
}

// parse reads all sources and stores the settings. It reports whether help was
// requested.
func (p *parser) parse(args []string) (help bool, err error) {
	program := jsonc.Origin{File: p.name}
	if role := p.settings.Role; role != wire.RoleGateway && role != wire.RoleRelay {
		p.fault(program, "", "the program name does not end in a role", "a name that ends in -gateway or -relay")
		return false, &Error{Faults: p.faults}
	}
	err = ff.Parse(p.flags, args,
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag(configFlag),
		ff.WithConfigFileParser(p.parseFile))
	if errors.Is(err, flag.ErrHelp) {
		return true, nil
	}
	if err != nil {
		p.fault(program, "", err.Error(), "a readable file and the settings that --help lists")
		p.incomplete = true
	}
	if rest := p.flags.Args(); len(rest) > 0 {
		p.fault(program, "", fmt.Sprintf("unexpected argument %q", rest[0]), "flags only")
	}
	p.storeAll()
	if len(p.faults) > 0 {
		return false, &Error{Faults: jsonc.SortFaults(p.faults)}
	}
	return false, nil
}

func (p *parser) fault(o jsonc.Origin, field, problem, allowed string) {
	p.faults = append(p.faults, o.Fault(field, problem, allowed))
}

// parseFile is an ff.ConfigFileParser for JSON with comments. The set function
// that ff passes ignores settings that a flag or the environment has set.
func (p *parser) parseFile(r io.Reader, set func(name, value string) error) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return errors.Annotatef(err, "read %s", p.path)
	}
	root, faults := jsonc.Parse(p.path, data)
	p.faults = append(p.faults, faults...)
	if root == nil {
		p.incomplete = true
		return nil
	}
	defer func() { p.origin = jsonc.Origin{} }()
	for key, n := range root.Members {
		p.origin = n.Origin
		if err := p.setFromFile(key, n, set); err != nil {
			return err
		}
	}
	return nil
}

func (p *parser) setFromFile(key string, n *jsonc.Node, set func(name, value string) error) error {
	i := slices.IndexFunc(p.options, func(o *option) bool { return o.fileKey() == key })
	if i < 0 {
		p.fault(p.origin, key, "unknown setting", p.keys())
		return nil
	}
	o := p.options[i]
	text, ok := fileText(n, o.kind)
	if !ok {
		p.fault(p.origin, key, "is "+n.Kind.String(), o.allowed)
		return nil
	}
	return set(o.name, text)
}

// fileText returns the text of a value in a file and reports whether the value
// has the given kind.
func fileText(n *jsonc.Node, kind jsonc.Kind) (string, bool) {
	if n.Kind != kind {
		return "", false
	}
	if kind != jsonc.Array {
		return n.Text, true
	}
	items := make([]string, len(n.Items))
	for i, item := range n.Items {
		if item.Kind != jsonc.String {
			return "", false
		}
		items[i] = item.Text
	}
	return strings.Join(items, ","), true
}

func (p *parser) keys() string {
	keys := make([]string, len(p.options))
	for i, o := range p.options {
		keys[i] = o.fileKey()
	}
	slices.Sort(keys)
	return strings.Join(keys, ", ")
}

// storeAll parses and stores the text of each setting and checks the constraints
// between settings.
func (p *parser) storeAll() {
	for _, o := range p.options {
		switch {
		case o.text == "" && (p.incomplete || p.hasFault(o)):
			// A fault that explains the absence is already reported.
		case o.text == "":
			p.fault(p.source(o), o.fileKey(), "is missing", o.allowed)
		case !o.store(o.text):
			p.fault(p.source(o), o.fileKey(), fmt.Sprintf("%q is not accepted", o.text), o.allowed)
		}
	}
	s := p.settings
	switch {
	case len(p.faults) > 0:
	case s.Role == wire.RoleRelay:
		p.checkFencing(s)
	default:
		p.require("linger", s.Linger < s.StopTimeout, "is too long", "below stop_timeout, "+s.StopTimeout.String())
	}
}

// checkFencing checks the durations that prevent two relays from using the same
// permit.
func (p *parser) checkFencing(s *Settings) {
	p.requireLonger("vm_list_max_age", s.VMListMaxAge >= 2*s.VMListPollInterval,
		"at least twice vm_list_poll, "+s.VMListPollInterval.String())
	err := s.PermitOptions().Validate()
	p.requireLonger("fencing_delay", err == nil,
		"1% above vm_list_lag, vm_list_max_age, handover_wait and quiet_period together, and above twice vm_list_lag and vm_list_max_age together")
}

// requireLonger reports the setting as too short unless ok is true.
func (p *parser) requireLonger(key string, ok bool, allowed string) {
	p.require(key, ok, "is too short", allowed)
}

// require reports the problem of the setting unless ok is true.
func (p *parser) require(key string, ok bool, problem, allowed string) {
	if ok {
		return
	}
	i := slices.IndexFunc(p.options, func(o *option) bool { return o.fileKey() == key })
	o := p.options[i]
	p.fault(p.source(o), key, fmt.Sprintf("%q %s", o.text, problem), allowed)
}

// hasFault reports whether a fault of the setting is already reported.
func (p *parser) hasFault(o *option) bool {
	return slices.ContainsFunc(p.faults, func(f jsonc.Fault) bool { return f.Field == o.fileKey() })
}

// source returns the place in a file that set o, or else the flag and the
// environment variable that can set it.
func (p *parser) source(o *option) jsonc.Origin {
	if o.origin != (jsonc.Origin{}) {
		return o.origin
	}
	return jsonc.Origin{File: fmt.Sprintf("-%s or %s", o.name, o.envKey())}
}

func (p *parser) printHelp(w io.Writer) {
	fmt.Fprintf(w, "Usage: %s [-%s FILE] [-SETTING VALUE]...\n\n", p.name, configFlag)
	fmt.Fprintf(w, "A setting is a flag, an environment variable (-vm-list-url is %s_VM_LIST_URL),\n", EnvPrefix)
	fmt.Fprintf(w, "or a key of the JSON-with-comments FILE (vm_list_url), in this order of precedence.\n\n")
	fmt.Fprintf(w, "  -%s FILE (%s_CONFIG)\n        the settings file\n", configFlag, EnvPrefix)
	for _, o := range p.options {
		presence := "required"
		if o.defaultText != "" {
			presence = "default " + o.defaultText
		}
		fmt.Fprintf(w, "  -%s (%s)\n        %s\n        %s\n", o.name, presence, o.help, o.allowed)
	}
}
