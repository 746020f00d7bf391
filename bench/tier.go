package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/daemon"
	"github.com/goldcrestmux/goldcrestmux/operator"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/proc"
	"github.com/goldcrestmux/goldcrestmux/standin"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Names of the listeners in the logs of the processes.
const (
	listenAPI      = "api"
	listenLink     = "link"
	listenOperator = "operator"
)

const (
	region         = "region-1"
	readyTimeout   = 30 * time.Second
	pollInterval   = 50 * time.Millisecond
	requestTimeout = 2 * time.Second
)

// Settings of the processes. The short times let permits be handed over within
// seconds.
var (
	commonArgs  = []string{"-vm-list-poll=100ms", "-heartbeat=200ms", "-stop-timeout=10s", "-log-format=json"}
	gatewayArgs = []string{"-linger=1s"}
	relayArgs   = []string{
		"-vm-list-max-age=600ms", "-vm-list-lag=300ms", "-handover-wait=400ms",
		"-quiet-period=500ms", "-fencing-delay=2s", "-start-delay=2s",
	}
)

// vm is one VM with its processes.
type vm struct {
	entry     platformapi.VM
	processes map[wire.Role]*proc.Process
	addresses map[wire.Role]map[string]string
}

// tier is a query tier of VMs with the stand-in that serves its platform and its
// targets. It is not safe for concurrent use, except that limits may
// be called while no VM is started.
type tier struct {
	bin      string
	variant  *Variant
	standin  *proc.Process
	admin    *standin.AdminClient
	layout   standin.Layout
	platform string
	vms      []*vm
	started  int // number of VMs started so far, including replaced ones
	client   http.Client
}

// startTier starts a stand-in and the VMs, and waits until the gateways are ready.
func startTier(ctx context.Context, bin string, x *Experiment, v *Variant) (*tier, error) {
	t := &tier{bin: bin, variant: v, client: http.Client{Timeout: requestTimeout}}
	err := t.startStandin(ctx, append(x.StandinArgs, v.StandinArgs...), x.Files)
	for i := 0; err == nil && i < x.VMs; i++ {
		err = t.startVM(i, nil)
	}
	if err == nil {
		err = t.publishVMs(ctx)
	}
	if err == nil {
		err = t.awaitReady(ctx)
	}
	if err != nil {
		t.stop()
		return nil, errors.Trace(err)
	}
	return t, nil
}

func (t *tier) startStandin(ctx context.Context, args []string, files []File) error {
	p, err := proc.Start("standin", filepath.Join(t.bin, "gcmux-standin"), append([]string{"-max-run=5m"}, args...))
	if err != nil {
		return err
	}
	t.standin = p
	address, err := p.Address(proc.ListenAdmin)
	if err != nil {
		return err
	}
	if t.platform, err = p.Address(proc.ListenPlatform); err != nil {
		return err
	}
	t.admin = standin.NewAdminClient(address)
	if t.layout, err = t.admin.Layout(ctx); err != nil {
		return err
	}
	for _, f := range files {
		if _, err := t.admin.PutFile(ctx, f.Name, f.Content); err != nil {
			return err
		}
	}
	return nil
}

// startVM starts a VM at index i. It listens on the given addresses, or on free
// ports where there are none.
func (t *tier) startVM(i int, addresses map[wire.Role]map[string]string) error {
	t.started++
	v := &vm{
		entry: platformapi.VM{
			Name:       fmt.Sprintf("vm%d", t.started),
			DataCentre: t.layout.DataCentres[i%len(t.layout.DataCentres)],
			Region:     region, Links: make(map[wire.Role]string),
		},
		processes: make(map[wire.Role]*proc.Process), addresses: make(map[wire.Role]map[string]string),
	}
	if i < len(t.vms) {
		t.vms[i] = v
	} else {
		t.vms = append(t.vms, v)
	}
	for _, role := range []wire.Role{wire.RoleRelay, wire.RoleGateway} {
		if err := t.startRole(v, role, addresses[role]); err != nil {
			return err
		}
	}
	return nil
}

// startRole starts the process of a role and records its addresses.
func (t *tier) startRole(v *vm, role wire.Role, addresses map[string]string) error {
	listeners := []string{listenLink, listenOperator}
	args := []string{
		"-vm=" + v.entry.Name, "-data-centre=" + v.entry.DataCentre, "-region=" + region,
		"-folder-url=http://" + t.platform, "-vm-list-url=http://" + t.platform,
	}
	args = append(args, commonArgs...)
	if role == wire.RoleRelay {
		args = append(append(args, relayArgs...), t.variant.RelayArgs...)
	} else {
		listeners = append(listeners, listenAPI)
		args = append(append(args, gatewayArgs...), t.variant.GatewayArgs...)
	}
	for _, l := range listeners {
		address := addresses[l]
		if address == "" {
			address = "127.0.0.1:0"
		}
		args = append(args, "-"+l+"-listen="+address)
	}
	p, err := proc.Start(v.entry.Name+"/"+string(role), filepath.Join(t.bin, "gcmux-"+string(role)), args)
	if err != nil {
		return err
	}
	v.processes[role] = p
	v.addresses[role] = make(map[string]string)
	for _, l := range listeners {
		if v.addresses[role][l], err = p.Address(l); err != nil {
			return err
		}
	}
	v.entry.Links[role] = v.addresses[role][listenLink]
	return nil
}

// publishVMs sends the VM list to the platform.
func (t *tier) publishVMs(ctx context.Context) error {
	var change standin.VMsChange
	for _, v := range t.vms {
		change.VMs = append(change.VMs, v.entry)
	}
	return t.admin.SetVMs(ctx, change)
}

// stopTimeout bounds the time from SIGTERM to the exit of a process.
const stopTimeout = 20 * time.Second

// stopProcess terminates a process. It returns an error if the process does not
// exit with code 0 within stopTimeout.
func stopProcess(p *proc.Process) error {
	code, err := p.Terminate(stopTimeout)
	if err != nil {
		return err
	}
	if code != 0 {
		return errors.Errorf("%s exited with code %d, want 0", p.Name(), code)
	}
	return nil
}

// replaceVMs replaces each VM by a new one on the same addresses, one after the
// other. All gateways are ready before the next VM is stopped.
func (t *tier) replaceVMs(ctx context.Context) error {
	for i := range t.vms {
		old := t.vms[i]
		old.entry.Leaving = true
		if err := t.publishVMs(ctx); err != nil {
			return err
		}
		for _, role := range []wire.Role{wire.RoleGateway, wire.RoleRelay} {
			if err := stopProcess(old.processes[role]); err != nil {
				return errors.Annotate(err, old.entry.Name)
			}
		}
		if err := t.startVM(i, old.addresses); err != nil {
			return err
		}
		if err := t.publishVMs(ctx); err != nil {
			return err
		}
		if err := t.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (t *tier) gateways() []string {
	var out []string
	for _, v := range t.vms {
		out = append(out, v.addresses[wire.RoleGateway][listenAPI])
	}
	return out
}

// awaitReady waits until all gateways report that they are ready.
func (t *tier) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		ready := 0
		for _, address := range t.gateways() {
			resp, err := t.client.Get("http://" + address + "/ready")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(t.vms) {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Timeoutf("wait for gateways: %d of %d ready:", ready, len(t.vms))
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// limits returns for each target the number of requests that all relays together
// may run there at once.
func (t *tier) limits() (map[string]int, error) {
	out := make(map[string]int)
	for _, v := range t.vms {
		var dump daemon.RelayDump
		address := v.addresses[wire.RoleRelay][listenOperator]
		if err := t.getJSON(address, operator.PathState, &dump); err != nil {
			return nil, err
		}
		for _, target := range dump.Relay.Targets {
			out[target.Target] += target.Limit
		}
	}
	return out, nil
}

// processMetrics returns the metrics of all processes that respond.
func (t *tier) processMetrics() []ProcessMetrics {
	var out []ProcessMetrics
	for _, v := range t.vms {
		for _, role := range []wire.Role{wire.RoleGateway, wire.RoleRelay} {
			var m ProcessMetrics
			err := t.getJSON(v.addresses[role][listenOperator], operator.PathMetrics, &m)
			m.Process = wire.Process{VM: v.entry.Name, Role: role}.Name()
			if err == nil {
				out = append(out, m)
			}
		}
	}
	return out
}

func (t *tier) getJSON(address, path string, to any) error {
	resp, err := t.client.Get("http://" + address + path)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	return errors.Trace(json.NewDecoder(resp.Body).Decode(to))
}

// warm reports whether the relays may use all slots of the targets of the
// searches.
func (t *tier) warm(searches []string) (bool, error) {
	limits, err := t.limits()
	if err != nil {
		return false, err
	}
	for _, target := range t.layout.Targets {
		if limits[target.Name] < target.Slots && slices.Contains(searches, target.Search) {
			return false, nil
		}
	}
	return true, nil
}

// stop kills all processes.
func (t *tier) stop() {
	for _, v := range t.vms {
		for _, p := range v.processes {
			p.Kill()
		}
	}
	if t.standin != nil {
		t.standin.Kill()
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
