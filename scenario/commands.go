package scenario

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/goldcrestmux/goldcrestmux/load"
	"github.com/goldcrestmux/goldcrestmux/proc"
	"github.com/goldcrestmux/goldcrestmux/standin"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

const (
	// reportInterval is the length of the steps in a load report.
	reportInterval = 250 * time.Millisecond
	pollInterval   = 20 * time.Millisecond
	readyTimeout   = 30 * time.Second
)

var errUsage = errors.ConstError("wrong arguments, see the commands in the package comment")

// commands returns the commands of the script language.
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]func(*script, *testscript.TestScript, []string) error{
		"standin": func(s *script, _ *testscript.TestScript, args []string) error {
			return s.tier.startStandin(s.options.Seed, args)
		},
		"vmlist":   func(s *script, _ *testscript.TestScript, _ []string) error { return s.tier.startVMListServer() },
		"settings": (*script).addSettings,
		"tier":     (*script).startTier,
		"ready":    func(s *script, _ *testscript.TestScript, _ []string) error { return s.awaitReady() },
		"kill9":    (*script).kill,
		"freeze":   signalCommand(syscall.SIGSTOP),
		"thaw":     signalCommand(syscall.SIGCONT),
		"term":     (*script).terminate,
		"start":    (*script).startProcesses,
		"vms":      (*script).changeVMs,
		"cables":   (*script).changeCables,
		"folder":   (*script).changeFolder,
		"config":   (*script).changeConfig,
		"target":   (*script).changeTargets,
		"load":     (*script).runLoad,
		"repeat":   (*script).repeat,
		"mark":     (*script).mark,
		"until":    (*script).until,
		"expect":   (*script).expect,
		"await":    (*script).await,
	}
	out := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, run := range all {
		out[name] = func(ts *testscript.TestScript, negated bool, args []string) {
			if negated {
				ts.Fatalf("%s cannot be negated", name)
			}
			ts.Check(run(ts.Value(scriptKey{}).(*script), ts, args))
		}
	}
	return out
}

func (s *script) addSettings(_ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	role := wire.Role(args[0])
	s.tier.settings[role] = append(s.tier.settings[role], args[1:]...)
	return nil
}

func (s *script) startTier(_ *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return errUsage
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	s.tier.cables = slices.Contains(args[1:], "cables")
	if err := s.tier.startVMs(n); err != nil {
		return err
	}
	return s.awaitReady()
}

// awaitReady waits until every running gateway is ready and returns complete
// responses.
func (s *script) awaitReady() error {
	return poll(readyTimeout, func() error {
		for _, v := range s.tier.vms {
			if !v.processes[wire.RoleGateway].Running() {
				continue
			}
			if err := s.tier.probe(v.addresses[wire.RoleGateway][listenAPI]); err != nil {
				return err
			}
		}
		return nil
	})
}

// poll calls check until it succeeds or the timeout has passed. It returns the
// last error of check.
func poll(timeout time.Duration, check func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return errors.Annotatef(err, "condition not met after %v", timeout)
		}
		time.Sleep(pollInterval)
	}
}

func (s *script) kill(_ *testscript.TestScript, args []string) error {
	return s.forEachProcess(args, func(p *proc.Process) error {
		p.Kill()
		return nil
	})
}

func signalCommand(sig os.Signal) func(*script, *testscript.TestScript, []string) error {
	return func(s *script, _ *testscript.TestScript, args []string) error {
		return s.forEachProcess(args, func(p *proc.Process) error { return p.Signal(sig) })
	}
}

func (s *script) forEachProcess(names []string, apply func(*proc.Process) error) error {
	for _, name := range names {
		selected, err := s.tier.selectProcesses(name)
		if err != nil {
			return err
		}
		for _, p := range selected {
			if err := apply(p); err != nil {
				return err
			}
		}
	}
	return nil
}

// terminate sends SIGTERM to all named processes at the same time. It returns an
// error if one of them does not exit with code 0 in time.
func (s *script) terminate(_ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	within, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	var results []chan error
	err = s.forEachProcess(args[1:], func(p *proc.Process) error {
		result := make(chan error, 1)
		results = append(results, result)
		go func() {
			code, err := p.Terminate(within)
			if err == nil && code != 0 {
				err = errors.Errorf("%s exited with code %d, want 0", p.Name(), code)
			}
			result <- err
		}()
		return nil
	})
	for _, result := range results {
		if failed := <-result; failed != nil {
			err = failed
		}
	}
	return err
}

func (s *script) startProcesses(_ *testscript.TestScript, args []string) error {
	for _, name := range args {
		v, role, err := s.tier.findProcess(name)
		if err != nil {
			return err
		}
		if v.processes[role].Running() {
			return errors.Errorf("%s is already running", name)
		}
		if err := s.tier.startRole(v, role); err != nil {
			return err
		}
		if err := v.recordAddresses(); err != nil {
			return err
		}
	}
	return nil
}

func (s *script) changeVMs(_ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	if args[0] == "lag" {
		return s.tier.lag.UnmarshalText([]byte(args[1]))
	}
	if args[0] == "target" {
		s.tier.targetsLeaving = append(s.tier.targetsLeaving, args[1:]...)
		return s.tier.publishVMs()
	}
	for _, name := range args[1:] {
		v, err := s.tier.findVM(name)
		if err != nil {
			return err
		}
		switch args[0] {
		case "leaving":
			v.leaving = true
		case "drop":
			v.listed = false
		case "add":
			v.listed, v.leaving = true, false
		default:
			return errUsage
		}
	}
	return s.tier.publishVMs()
}

func (s *script) changeCables(_ *testscript.TestScript, args []string) error {
	change := standin.CableChange{}
	switch len(args) {
	case 2:
		change.VM = args[1]
	case 3:
		change.From, change.To = args[1], args[2]
	default:
		return errUsage
	}
	change.Mode = standin.CableMode(args[0])
	return s.tier.vmList.SetCables(context.Background(), change)
}

func (s *script) changeFolder(ts *testscript.TestScript, args []string) error {
	ctx := context.Background()
	switch {
	case len(args) == 3 && args[0] == "put":
		_, err := s.tier.admin.PutFile(ctx, args[1], []byte(ts.ReadFile(args[2])))
		return err
	case len(args) == 2 && args[0] == "remove":
		_, err := s.tier.admin.RemoveFile(ctx, args[1])
		return err
	default:
		return errUsage
	}
}

func (s *script) changeConfig(_ *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return errUsage
	}
	fault := standin.ConfigFault{Mode: standin.ConfigMode(args[0]), DataCentres: args[1:]}
	return s.tier.admin.SetConfigFault(context.Background(), fault)
}

func (s *script) changeTargets(_ *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	fields := make(map[string]json.RawMessage)
	for _, arg := range args[1:] {
		key, value, _ := strings.Cut(arg, "=")
		fields[key] = toJSON(value)
	}
	data, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	var change standin.TargetChange
	if err := decodeStrict(data, &change); err != nil {
		return err
	}
	switch {
	case args[0] == "all":
	case slices.Contains(s.tier.layout.DataCentres, args[0]):
		change.DataCentre = args[0]
	default:
		change.Targets = strings.Split(args[0], ",")
	}
	_, err = s.tier.admin.ChangeTargets(context.Background(), change)
	return err
}

func (s *script) runLoad(ts *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return errUsage
	}
	if args[0] == "wait" {
		report, err := s.load.wait()
		if err != nil {
			return err
		}
		for _, step := range report.Steps {
			ts.Logf("from %v: %d of %d requests got a response, complete fraction %.3f, p99 %v",
				step.From.Std(), step.Succeeded, step.Scheduled, step.CompleteFraction, step.P99.Std())
		}
		return report.WriteTable(ts.Stdout())
	}
	plan, err := s.loadPlan(ts, args[1:])
	if err != nil {
		return err
	}
	plan.Name = ts.Name()
	plan.Gateways = s.tier.gateways()
	plan.Standins = []string{s.tier.standin.Addresses()[proc.ListenAdmin]}
	plan.Seed = s.options.Seed
	plan.Interval = standin.Duration(reportInterval)
	s.load.stop()
	s.load = startLoad(plan)
	return nil
}

func (s *script) loadPlan(ts *testscript.TestScript, args []string) (load.Plan, error) {
	if len(args) == 1 && !strings.Contains(args[0], "=") {
		return load.ParsePlan([]byte(ts.ReadFile(args[0])))
	}
	return parsePlan(append([]string{"search=" + s.tier.layout.Searches[0].Name}, args...))
}

// repeat sends a query with the same text to the gateways in turn, whatever the responses.
func (s *script) repeat(_ *testscript.TestScript, args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return errors.Trace(err)
	}
	gap, err := time.ParseDuration(args[1])
	if err != nil {
		return errors.Trace(err)
	}
	client := &http.Client{Timeout: probeTimeout}
	gateways := s.tier.gateways()
	for i := range n {
		_ = querySearch(client, gateways[i%len(gateways)], s.tier.layout.Searches[0].Name, args[2]) // targets may crash
		time.Sleep(gap)
	}
	return nil
}

func (s *script) mark(_ *testscript.TestScript, args []string) error {
	var after time.Duration
	switch len(args) {
	case 1:
	case 2:
		var err error
		if after, err = time.ParseDuration(args[1]); err != nil {
			return err
		}
	default:
		return errUsage
	}
	s.marks[args[0]] = time.Now().Add(after)
	return nil
}

func (s *script) until(_ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	at, ok := s.marks[args[0]]
	if !ok {
		return errors.NotFoundf("mark %q", args[0])
	}
	time.Sleep(time.Until(at))
	return nil
}
