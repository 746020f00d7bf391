package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/proc"
	"github.com/goldcrestmux/goldcrestmux/standin"
	"github.com/goldcrestmux/goldcrestmux/targetapi"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// Names of the listeners of a process in its log.
const (
	listenAPI      = "api"
	listenLink     = "link"
	listenOperator = "operator"
)

// Names of the processes outside the VMs of the tier.
const (
	processStandin = "standin"
	processVMList  = "vmlist"
)

const region = "region-1"

// shortTimes are settings for both roles. They let permits be handed over within
// seconds.
var shortTimes = []string{"-vm-list-poll=100ms", "-heartbeat=200ms", "-stop-timeout=10s"}

// shortFencing are the settings of a relay that match shortTimes.
var shortFencing = []string{
	"-vm-list-max-age=600ms", "-vm-list-lag=300ms", "-handover-wait=400ms",
	"-quiet-period=500ms", "-fencing-delay=2s", "-start-delay=2s",
}

// shortLinger is how long a stopping gateway accepts new requests. In this time the
// load generator checks its readiness several times.
const shortLinger = "-linger=1s"

// vm is one VM of the tier: a gateway and a relay.
type vm struct {
	name       string
	dataCentre string
	ip         net.IP
	listed     bool
	leaving    bool
	processes  map[wire.Role]*proc.Process
	// addresses holds the addresses of the listeners by role and name, so that a
	// restarted process gets its old addresses.
	addresses map[wire.Role]map[string]string
}

// tier is a query tier of VMs with the stand-in that serves its platform and its
// targets. It is not safe for concurrent use.
type tier struct {
	bin      string // directory of the executables
	subnet   byte   // third byte of the VMs' IP addresses
	standin  *proc.Process
	admin    *standin.AdminClient
	platform string // address of the configuration service and the VM list
	// vmList serves the VM list. It is the stand-in unless startVMListServer was
	// called.
	vmList    *standin.AdminClient
	vmListURL string
	layout    standin.Layout
	vms       []*vm
	settings  map[wire.Role][]string // in addition to the short times
	lag       standin.Duration
	cables    bool
	// targetsLeaving holds the targets whose VMs are listed as leaving.
	targetsLeaving []string
	processes      []*proc.Process // including those that have exited
}

func (t *tier) startStandin(seed uint64, args []string) error {
	args = append([]string{fmt.Sprintf("-seed=%d", seed), "-max-run=10m"}, args...)
	p, err := t.start(processStandin, "gcmux-standin", args)
	if err != nil {
		return err
	}
	t.standin = p
	address, err := p.Address(proc.ListenAdmin)
	if err != nil {
		return err
	}
	t.admin = standin.NewAdminClient(address)
	if t.platform, err = p.Address(proc.ListenPlatform); err != nil {
		return err
	}
	t.vmList, t.vmListURL = t.admin, "http://"+t.platform
	t.layout, err = t.admin.Layout(context.Background())
	return err
}

// startVMListServer starts another stand-in that serves only the VM list, so that
// the list can fail independently.
func (t *tier) startVMListServer() error {
	p, err := t.start(processVMList, "gcmux-standin", []string{"-max-run=10m", "-records=1"})
	if err != nil {
		return err
	}
	admin, err := p.Address(proc.ListenAdmin)
	if err != nil {
		return err
	}
	t.vmList = standin.NewAdminClient(admin)
	address, err := p.Address(proc.ListenPlatform)
	t.vmListURL = "http://" + address
	return err
}

func (t *tier) start(name, program string, args []string) (*proc.Process, error) {
	p, err := proc.Start(name, filepath.Join(t.bin, program), args)
	if err == nil {
		t.processes = append(t.processes, p)
	}
	return p, err
}

// startVMs starts n VMs, assigns them to the data centres in rotation, and publishes
// them in the VM list.
func (t *tier) startVMs(n int) error {
	for i := range n {
		v := &vm{
			name:       fmt.Sprintf("vm%d", i+1),
			dataCentre: t.layout.DataCentres[i%len(t.layout.DataCentres)],
			ip:         net.IPv4(127, 77, t.subnet, byte(i+1)),
			listed:     true,
			processes:  make(map[wire.Role]*proc.Process),
			addresses:  make(map[wire.Role]map[string]string),
		}
		t.vms = append(t.vms, v)
		for _, role := range []wire.Role{wire.RoleRelay, wire.RoleGateway} {
			if err := t.startRole(v, role); err != nil {
				return err
			}
		}
	}
	for _, v := range t.vms {
		if err := v.recordAddresses(); err != nil {
			return err
		}
	}
	return t.publishVMs()
}

// startRole starts the VM's process of a role, on its previous addresses if it ran
// before.
func (t *tier) startRole(v *vm, role wire.Role) error {
	url := "http://" + t.platform
	args := []string{
		"-vm=" + v.name, "-data-centre=" + v.dataCentre, "-region=" + region,
		"-folder-url=" + url, "-vm-list-url=" + t.vmListURL, "-log-format=json",
	}
	listeners := []string{listenLink, listenOperator}
	args = append(args, shortTimes...)
	if role == wire.RoleRelay {
		args = append(args, shortFencing...)
	} else {
		listeners = append(listeners, listenAPI)
		args = append(args, shortLinger)
	}
	for _, l := range listeners {
		address := v.ip.String() + ":0"
		if old, ok := v.addresses[role][l]; ok {
			address = old
		}
		args = append(args, "-"+l+"-listen="+address)
	}
	p, err := t.start(wire.Process{VM: v.name, Role: role}.Name(), "gcmux-"+string(role), append(args, t.settings[role]...))
	v.processes[role] = p
	return err
}

func (v *vm) recordAddresses() error {
	for role, p := range v.processes {
		if _, err := p.Address(listenLink); err != nil {
			return err
		}
		if role == wire.RoleGateway {
			if _, err := p.Address(listenAPI); err != nil {
				return err
			}
		}
		v.addresses[role] = p.Addresses()
	}
	return nil
}

// publishVMs sends the VM list to the platform.
func (t *tier) publishVMs() error {
	change := standin.VMsChange{Lag: &t.lag, Cables: &t.cables}
	for _, v := range t.vms {
		if !v.listed {
			continue
		}
		links := make(map[wire.Role]string)
		for role, addresses := range v.addresses {
			links[role] = addresses[listenLink]
		}
		change.VMs = append(change.VMs, platformapi.VM{
			Name: v.name, DataCentre: v.dataCentre, Region: region, Leaving: v.leaving, Links: links,
		})
	}
	for _, name := range t.targetsLeaving {
		change.VMs = append(change.VMs, platformapi.VM{
			Name: name, DataCentre: t.layout.DataCentres[0], Region: region, Leaving: true,
		})
	}
	return t.vmList.SetVMs(context.Background(), change)
}

func (t *tier) findVM(name string) (*vm, error) {
	i := slices.IndexFunc(t.vms, func(v *vm) bool { return v.name == name })
	if i < 0 {
		return nil, errors.NotFoundf("VM %q", name)
	}
	return t.vms[i], nil
}

// findProcess returns the VM and the role of a process name such as "vm1/relay".
func (t *tier) findProcess(name string) (*vm, wire.Role, error) {
	vmName, role, _ := strings.Cut(name, "/")
	v, err := t.findVM(vmName)
	if err != nil {
		return nil, "", err
	}
	if v.processes[wire.Role(role)] == nil {
		return nil, "", errors.NotFoundf("process %q", name)
	}
	return v, wire.Role(role), nil
}

// selectProcesses returns the processes that a name selects: those that run for "all"
// or the plural of a role such as "relays", or the one of that name, such as
// "vm1/relay", "standin" or "vmlist", which may have exited.
func (t *tier) selectProcesses(name string) ([]*proc.Process, error) {
	if strings.Contains(name, "/") {
		v, role, err := t.findProcess(name)
		if err != nil {
			return nil, err
		}
		return []*proc.Process{v.processes[role]}, nil
	}
	var out []*proc.Process
	for _, p := range t.processes {
		if p.Name() == name {
			out = append(out, p)
		}
	}
	for _, v := range t.vms {
		for _, role := range []wire.Role{wire.RoleGateway, wire.RoleRelay} {
			if p := v.processes[role]; p.Running() && (name == "all" || name == string(role)+"s") {
				out = append(out, p)
			}
		}
	}
	if len(out) == 0 {
		return nil, errors.NotFoundf("processes %q", name)
	}
	return out, nil
}

// gateways returns the API addresses of all gateways, including those that are down.
func (t *tier) gateways() []string {
	var out []string
	for _, v := range t.vms {
		out = append(out, v.addresses[wire.RoleGateway][listenAPI])
	}
	return out
}

// probe returns an error unless the gateway is ready and returns a complete response
// to every search.
func (t *tier) probe(gateway string) error {
	client := http.Client{Timeout: probeTimeout}
	resp, err := client.Get("http://" + gateway + "/ready")
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("gateway %s is not ready", gateway)
	}
	for _, s := range t.layout.Searches {
		if err := querySearch(&client, gateway, s.Name, ""); err != nil {
			return err
		}
	}
	return nil
}

// probeTimeout bounds a request of a probe.
const probeTimeout = 2 * time.Second

// querySearch sends a query with the given text and returns an error unless the response is
// complete.
func querySearch(client *http.Client, gateway, search, text string) error {
	body, err := json.Marshal(map[string]any{"query": targetapi.Query{Text: text, Limit: 1}})
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+gateway+"/v1/search/"+search, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+standin.Token(search))
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var response struct {
		Complete bool `json:"complete"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		return err
	}
	if !response.Complete {
		return errors.Errorf("gateway %s: response to search %s is not complete, status %d", gateway, search, resp.StatusCode)
	}
	return nil
}

// stop kills all processes.
func (t *tier) stop() {
	for _, p := range t.processes {
		p.Kill()
	}
}
