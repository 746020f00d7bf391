// Package scenario runs scripted failure scenarios against a whole query tier
// of real processes on loopback. A script starts a stand-in and some VMs,
// generates load, injects faults and states what must hold.
//
// The commands, in addition to those of testscript:
//
//	standin [FLAG...]              start the stand-in with flags of gcmux-standin
//	vmlist                         serve the VM list from a separate process
//	settings ROLE FLAG...          add settings for processes that start later
//	tier N [cables]                start N VMs with a gateway and a relay each,
//	                               list them, and wait until they are ready
//	ready                          wait until all running gateways return complete
//	                               responses
//	kill9|freeze|thaw PROCESS...   SIGKILL, SIGSTOP, SIGCONT
//	term WITHIN PROCESS...         SIGTERM to all; each must exit with code 0 in time
//	start PROCESS...               start again on the same addresses
//	vms leaving|drop|add VM...     change the platform's VM list
//	vms target TARGET...           list the targets' VMs as leaving
//	vms lag DURATION               delay later changes of the VM list
//	cables MODE FROM TO|VM         change the network paths between two data centres,
//	                               or those to a VM: up, cut or silent
//	folder put NAME FILE|remove NAME
//	config MODE [DATACENTRE...]    mode up, down, stale or torn
//	target SELECTOR KEY[=VALUE]... change targets: "all", a data centre or names
//	                               joined by commas; keys of standin.TargetChange
//	repeat N GAP TEXT              send N queries with the same text, one after the other
//	                               with a gap, to the gateways in turn
//	load start KEY=VALUE...|FILE   start load: keys of load.Stream and "duration",
//	                               or a plan in JSON
//	load wait                      wait for the end of the load
//	mark NAME [DURATION]           record the current time plus the duration
//	until NAME                     wait until the recorded time
//	expect DOC PATH OP VALUE       check a document; see lookup for paths
//	await DURATION DOC PATH OP VALUE
//	                               check until it holds or the duration has passed
//
// A document is "load" (the last report), "ledger" (the summary of the stand-in's
// ledger), "ledger@MARK" (the same, in which started_since and crashes_since count from the mark), or
// "state:PROCESS", where PROCESS may also be "all", "relays" or "gateways". All
// selected values must fulfil the comparison. A path that selects no value has the
// value 0. A VALUE that starts with "@" is a mark, one that starts with "." a path in
// the same document, and one that starts with "^" a path in the first of several
// documents.
package scenario

import (
	"context"
	"encoding/json"
	"os"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// MaxParallel is the maximum number of scripts that run at the same time.
const MaxParallel = 3

// Options configures the scripts.
type Options struct {
	// Bin is the directory of the executables.
	Bin string
	// Seed selects the records, arrivals and queries.
	Seed uint64
}

// subnets numbers the scripts so that no two use the same IP addresses. It starts
// at the process ID, because other test processes may run at the same time.
var subnets = startSubnets()

func startSubnets() *atomic.Uint32 {
	var n atomic.Uint32
	n.Store(uint32(os.Getpid()))
	return &n
}

type scriptKey struct{}

// script is the state of one running script.
type script struct {
	options Options
	tier    *tier
	load    *loadRun
	marks   map[string]time.Time
}

// failer is the part of testing.T that reports whether a script failed.
type failer interface{ Failed() bool }

// Params returns the testscript parameters that run the scripts of a directory.
func Params(dir string, o Options) testscript.Params {
	semaphore := make(chan struct{}, MaxParallel)
	return testscript.Params{
		Dir:  dir,
		Cmds: commands(),
		Setup: func(env *testscript.Env) error {
			semaphore <- struct{}{}
			s := &script{options: o, marks: make(map[string]time.Time), tier: &tier{
				bin: o.Bin, subnet: byte(subnets.Add(1)%254 + 1), settings: make(map[wire.Role][]string),
			}}
			env.Values[scriptKey{}] = s
			env.Defer(func() {
				if t, ok := env.T().(failer); ok && t.Failed() {
					s.logDiagnostics(env.T())
				}
				s.load.stop()
				s.tier.stop()
				<-semaphore
			})
			return nil
		},
	}
}

// logDiagnostics writes the stand-in's ledger and the last lines of the logs of all
// processes to the test log.
func (s *script) logDiagnostics(t testscript.T) {
	if s.tier.admin != nil {
		if ledger, err := s.tier.admin.Ledger(context.Background(), time.Time{}); err == nil {
			text, _ := json.Marshal(ledger)
			t.Log("ledger: " + string(text))
		}
	}
	for _, p := range s.tier.processes {
		t.Log("log of " + p.Name() + ":")
		for _, line := range p.Tail() {
			t.Log("  " + line)
		}
	}
}
