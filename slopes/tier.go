package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/load"
	"github.com/goldcrestmux/goldcrestmux/platformapi"
	"github.com/goldcrestmux/goldcrestmux/proc"
	"github.com/goldcrestmux/goldcrestmux/standin"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// The tier whose processor time is measured, and the load on it.
const (
	tierVMs      = 3
	tierSearches = 3 // of loads, each with another number of shards
	readyTimeout = 30 * time.Second
)

// tierLoads are the searches that are driven, each at several rates, in queries
// per second.
var tierLoads = [tierSearches]struct {
	search string
	shards int
	rates  []float64
}{
	{"results", 6, []float64{100, 200, 400}},
	{"judges", 20, []float64{50, 100, 200}},
	{"portal", 30, []float64{50, 100, 200}},
}

// tier is a stand-in with the processes of a few VMs.
type tier struct {
	bin       string
	standin   *proc.Process
	admin     string
	platform  string
	processes map[wire.Role][]*proc.Process
	operators map[wire.Role][]string
	apis      []string
}

// startTier starts all processes and waits until the gateways are ready.
func startTier(ctx context.Context, bin string) (*tier, error) {
	t := &tier{bin: bin, processes: map[wire.Role][]*proc.Process{}, operators: map[wire.Role][]string{}}
	if err := t.start(ctx); err != nil {
		t.stop()
		return nil, err
	}
	return t, nil
}

func (t *tier) start(ctx context.Context) error {
	var err error
	t.standin, err = proc.Start("standin", filepath.Join(t.bin, "gcmux-standin"),
		[]string{"-setup=competitions", "-warm", "-max-run=5m", "-service=1ms"})
	if err != nil {
		return err
	}
	if t.admin, err = t.standin.Address(proc.ListenAdmin); err != nil {
		return err
	}
	if t.platform, err = t.standin.Address(proc.ListenPlatform); err != nil {
		return err
	}
	admin := standin.NewAdminClient(t.admin)
	layout, err := admin.Layout(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	var change standin.VMsChange
	for i := range tierVMs {
		vm := platformapi.VM{
			Name: vmName(i), DataCentre: layout.DataCentres[i%len(layout.DataCentres)],
			Region: region(0), Links: map[wire.Role]string{},
		}
		for _, role := range []wire.Role{wire.RoleRelay, wire.RoleGateway} {
			if err := t.startRole(vm, role); err != nil {
				return err
			}
		}
		change.VMs = append(change.VMs, vm)
	}
	if err := admin.SetVMs(ctx, change); err != nil {
		return errors.Trace(err)
	}
	return t.awaitReady(ctx)
}

// startRole starts a process of a VM and notes where it listens.
func (t *tier) startRole(vm platformapi.VM, role wire.Role) error {
	url := "http://" + t.platform
	args := []string{
		"-vm=" + vm.Name, "-data-centre=" + vm.DataCentre, "-region=" + vm.Region, "-log-format=json",
		"-folder-url=" + url, "-vm-list-url=" + url, "-link-listen=127.0.0.1:0", "-operator-listen=127.0.0.1:0",
	}
	if role == wire.RoleGateway {
		args = append(args, "-api-listen=127.0.0.1:0")
	} else {
		args = append(args, "-start-delay=1s")
	}
	p, err := proc.Start(vm.Name+"/"+string(role), filepath.Join(t.bin, "gcmux-"+string(role)), args)
	if err != nil {
		return err
	}
	t.processes[role] = append(t.processes[role], p)
	if vm.Links[role], err = p.Address("link"); err != nil {
		return err
	}
	address, err := p.Address("operator")
	if err != nil {
		return err
	}
	t.operators[role] = append(t.operators[role], address)
	if role != wire.RoleGateway {
		return nil
	}
	address, err = p.Address("api")
	if err != nil {
		return err
	}
	t.apis = append(t.apis, address)
	return nil
}

func (t *tier) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, api := range t.apis {
		for {
			resp, err := http.Get("http://" + api + "/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			select {
			case <-ctx.Done():
				return errors.Timeoutf("gateway %s", api)
			case <-time.After(settle):
			}
		}
	}
	return nil
}

// stop ends all processes.
func (t *tier) stop() {
	for _, list := range t.processes {
		for _, p := range list {
			p.Kill()
		}
	}
	if t.standin != nil {
		t.standin.Kill()
	}
}

// reading is what the processes of a role have used and done so far.
type reading struct {
	processor time.Duration
	received  float64 // sub-requests
	framesIn  float64
	framesOut float64
	bytesOut  float64
}

func (r reading) since(before reading) reading {
	return reading{
		processor: r.processor - before.processor,
		received:  r.received - before.received,
		framesIn:  r.framesIn - before.framesIn,
		framesOut: r.framesOut - before.framesOut,
		bytesOut:  r.bytesOut - before.bytesOut,
	}
}

// vars are the published counters that are read.
type vars struct {
	Link struct {
		FramesIn  float64 `json:"frames_received"`
		FramesOut float64 `json:"frames_sent"`
		BytesOut  float64 `json:"bytes_sent"`
	} `json:"link"`
	Relay struct {
		Received float64 `json:"received"`
	} `json:"relay"`
}

func (t *tier) read(role wire.Role) (reading, error) {
	var sum reading
	for i, p := range t.processes[role] {
		used, err := processTime(p.PID())
		if err != nil {
			return sum, err
		}
		v, err := readVars(t.operators[role][i])
		if err != nil {
			return sum, err
		}
		sum.processor += used
		sum.received += v.Relay.Received
		sum.framesIn += v.Link.FramesIn
		sum.framesOut += v.Link.FramesOut
		sum.bytesOut += v.Link.BytesOut
	}
	return sum, nil
}

func readVars(operator string) (vars, error) {
	var v vars
	resp, err := http.Get("http://" + operator + "/debug/vars")
	if err != nil {
		return v, errors.Trace(err)
	}
	defer resp.Body.Close()
	return v, errors.Trace(json.NewDecoder(resp.Body).Decode(&v))
}

// step is what one load cost.
type step struct {
	queries        float64
	gateway, relay reading
}

// drive sends queries to a search and takes what they cost.
func (t *tier) drive(ctx context.Context, search string, rate float64, duration time.Duration) (step, error) {
	gateway, err := t.read(wire.RoleGateway)
	if err != nil {
		return step{}, err
	}
	relay, err := t.read(wire.RoleRelay)
	if err != nil {
		return step{}, err
	}
	report, err := load.Run(ctx, load.Plan{
		Gateways: t.apis, Standins: []string{t.admin}, Duration: standin.Duration(duration),
		Streams: []load.Stream{{Search: search, Rate: rate, Even: true}},
	}, io.Discard)
	if err != nil {
		return step{}, errors.Trace(err)
	}
	if answered := float64(report.Total.Answered); answered < 0.95*float64(report.Total.Scheduled) {
		return step{}, errors.Errorf("%s at %.0f/s: only %.0f of %d queries answered", search, rate, answered, report.Total.Scheduled)
	}
	gatewayAfter, err := t.read(wire.RoleGateway)
	if err != nil {
		return step{}, err
	}
	relayAfter, err := t.read(wire.RoleRelay)
	return step{
		queries: float64(report.Total.Answered),
		gateway: gatewayAfter.since(gateway),
		relay:   relayAfter.since(relay),
	}, err
}

// rest takes the processor time of one process of each role without load. It
// is of one size only.
func (t *tier) rest(duration time.Duration) ([]slope, error) {
	var slopes []slope
	for _, role := range []wire.Role{wire.RoleGateway, wire.RoleRelay} {
		before, err := t.read(role)
		if err != nil {
			return nil, err
		}
		time.Sleep(duration)
		after, err := t.read(role)
		if err != nil {
			return nil, err
		}
		used := millis(after.since(before).processor) / duration.Seconds() / tierVMs
		slopes = append(slopes, newSlope("one "+string(role)+" at rest", "ms of processor/s", "VM", []point{{tierVMs, used}}))
	}
	return slopes, nil
}

// measureTier takes the processor time of whole processes under load.
func measureTier(ctx context.Context, opts options) ([]slope, error) {
	t, err := startTier(ctx, opts.bin)
	if err != nil {
		return nil, err
	}
	defer t.stop()
	if _, err := t.drive(ctx, "judges", 50, opts.step); err != nil { // warms up
		return nil, err
	}
	perSecond := 1e6 * opts.step.Seconds()
	slopes, err := t.rest(opts.step)
	if err != nil {
		return nil, err
	}
	var relayAll, bytesAll, framesAll []point
	var perQuery []point
	for _, l := range tierLoads {
		var gateway, relay []point
		for _, rate := range l.rates {
			s, err := t.drive(ctx, l.search, rate, opts.step)
			if err != nil {
				return nil, err
			}
			gateway = append(gateway, point{s.queries / opts.step.Seconds(), float64(s.gateway.processor.Microseconds()) / perSecond})
			relay = append(relay, point{s.relay.received / opts.step.Seconds(), float64(s.relay.processor.Microseconds()) / perSecond})
			bytesAll = append(bytesAll, point{s.relay.received / opts.step.Seconds(), s.relay.bytesOut / opts.step.Seconds()})
			framesAll = append(framesAll, point{s.relay.received / opts.step.Seconds(), s.relay.framesOut / opts.step.Seconds()})
		}
		relayAll = append(relayAll, relay...)
		s := newSlope(fmt.Sprintf("gateways, %d shards a query", l.shards), "processors", "query/s", gateway)
		perQuery = append(perQuery, point{float64(l.shards), 1e6 * s.Fit.Slope})
		slopes = append(slopes, s, newSlope(fmt.Sprintf("relays, %d shards a query", l.shards), "processors", "sub-request/s", relay))
	}
	return append(slopes,
		newSlope("gateway, a query", "us of processor", "shard of the query", perQuery),
		newSlope("relays, all loads", "processors", "sub-request/s", relayAll),
		newSlope("relays, sent on links", "bytes/s", "sub-request/s", bytesAll),
		newSlope("relays, sent on links", "frames/s", "sub-request/s", framesAll),
	), nil
}
