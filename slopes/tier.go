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

// Sizes of the tier whose CPU time is measured.
const (
	tierVMs      = 3
	tierSearches = 3 // each with a different number of shards
	readyTimeout = 30 * time.Second
)

// searchLoads are the searches that get load, each at several rates in queries
// per second.
var searchLoads = [tierSearches]struct {
	search string
	shards int
	rates  []float64
}{
	{"results", 6, []float64{100, 200, 400}},
	{"judges", 20, []float64{50, 100, 200}},
	{"portal", 30, []float64{50, 100, 200}},
}

// tier is a stand-in and the processes of a few VMs.
type tier struct {
	bin               string
	standin           *proc.Process
	adminAddress      string
	platformAddress   string
	processes         map[wire.Role][]*proc.Process
	operatorAddresses map[wire.Role][]string
	apiAddresses      []string
}

// startTier starts all processes and waits until the gateways are ready.
func startTier(ctx context.Context, bin string) (*tier, error) {
	t := &tier{bin: bin, processes: map[wire.Role][]*proc.Process{}, operatorAddresses: map[wire.Role][]string{}}
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
	if t.adminAddress, err = t.standin.Address(proc.ListenAdmin); err != nil {
		return err
	}
	if t.platformAddress, err = t.standin.Address(proc.ListenPlatform); err != nil {
		return err
	}
	admin := standin.NewAdminClient(t.adminAddress)
	layout, err := admin.Layout(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	var change standin.VMsChange
	for i := range tierVMs {
		vm := platformapi.VM{
			Name: vmName(i), DataCentre: layout.DataCentres[i%len(layout.DataCentres)],
			Region: regionName(0), Links: map[wire.Role]string{},
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

// startRole starts the process of a role on a VM and records its addresses.
func (t *tier) startRole(vm platformapi.VM, role wire.Role) error {
	url := "http://" + t.platformAddress
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
	t.operatorAddresses[role] = append(t.operatorAddresses[role], address)
	if role != wire.RoleGateway {
		return nil
	}
	address, err = p.Address("api")
	if err != nil {
		return err
	}
	t.apiAddresses = append(t.apiAddresses, address)
	return nil
}

func (t *tier) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, api := range t.apiAddresses {
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
				return errors.Timeoutf("gateway %s: readiness", api)
			case <-time.After(settleTime):
			}
		}
	}
	return nil
}

// stop kills all processes.
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

// usage is the CPU time and the counters of all processes of a role since they
// started.
type usage struct {
	cpuTime   time.Duration
	received  float64 // sub-requests
	framesIn  float64
	framesOut float64
	bytesOut  float64
}

// sub returns the difference between u and an earlier reading.
func (u usage) sub(before usage) usage {
	return usage{
		cpuTime:   u.cpuTime - before.cpuTime,
		received:  u.received - before.received,
		framesIn:  u.framesIn - before.framesIn,
		framesOut: u.framesOut - before.framesOut,
		bytesOut:  u.bytesOut - before.bytesOut,
	}
}

// counters is the part of /debug/vars that is read.
type counters struct {
	Link struct {
		FramesIn  float64 `json:"frames_received"`
		FramesOut float64 `json:"frames_sent"`
		BytesOut  float64 `json:"bytes_sent"`
	} `json:"link"`
	Relay struct {
		Received float64 `json:"received"`
	} `json:"relay"`
}

func (t *tier) readUsage(role wire.Role) (usage, error) {
	var total usage
	for i, p := range t.processes[role] {
		used, err := processCPUTime(p.PID())
		if err != nil {
			return total, err
		}
		v, err := readCounters(t.operatorAddresses[role][i])
		if err != nil {
			return total, err
		}
		total.cpuTime += used
		total.received += v.Relay.Received
		total.framesIn += v.Link.FramesIn
		total.framesOut += v.Link.FramesOut
		total.bytesOut += v.Link.BytesOut
	}
	return total, nil
}

func readCounters(address string) (counters, error) {
	var v counters
	resp, err := http.Get("http://" + address + "/debug/vars")
	if err != nil {
		return v, errors.Trace(err)
	}
	defer resp.Body.Close()
	return v, errors.Trace(json.NewDecoder(resp.Body).Decode(&v))
}

// loadResult is the number of queries that got a response under one load, and what
// they cost the gateways and the relays.
type loadResult struct {
	queries        float64
	gateway, relay usage
}

// runLoad sends queries to a search for a time and measures their cost. It returns
// an error if fewer than 95% of them get a response.
func (t *tier) runLoad(ctx context.Context, search string, rate float64, duration time.Duration) (loadResult, error) {
	gateway, err := t.readUsage(wire.RoleGateway)
	if err != nil {
		return loadResult{}, err
	}
	relay, err := t.readUsage(wire.RoleRelay)
	if err != nil {
		return loadResult{}, err
	}
	report, err := load.Run(ctx, load.Plan{
		Gateways: t.apiAddresses, Standins: []string{t.adminAddress}, Duration: standin.Duration(duration),
		Streams: []load.Stream{{Search: search, Rate: rate, EvenlySpaced: true}},
	}, io.Discard)
	if err != nil {
		return loadResult{}, errors.Trace(err)
	}
	if responded := float64(report.Total.Succeeded); responded < 0.95*float64(report.Total.Scheduled) {
		return loadResult{}, errors.Errorf("search %q at %.0f queries/s: only %.0f of %d queries got a response", search, rate, responded, report.Total.Scheduled)
	}
	gatewayAfter, err := t.readUsage(wire.RoleGateway)
	if err != nil {
		return loadResult{}, err
	}
	relayAfter, err := t.readUsage(wire.RoleRelay)
	return loadResult{
		queries: float64(report.Total.Succeeded),
		gateway: gatewayAfter.sub(gateway),
		relay:   relayAfter.sub(relay),
	}, err
}

// measureIdle measures the CPU time of one process of each role without load, at
// one size only.
func (t *tier) measureIdle(duration time.Duration) ([]measurement, error) {
	var measurements []measurement
	for _, role := range []wire.Role{wire.RoleGateway, wire.RoleRelay} {
		before, err := t.readUsage(role)
		if err != nil {
			return nil, err
		}
		time.Sleep(duration)
		after, err := t.readUsage(role)
		if err != nil {
			return nil, err
		}
		used := milliseconds(after.sub(before).cpuTime) / duration.Seconds() / tierVMs
		measurements = append(measurements, newMeasurement("one "+string(role)+" at rest", "ms of processor/s", "VM", []point{{tierVMs, used}}))
	}
	return measurements, nil
}

// measureTier measures the CPU time of whole processes under load.
func measureTier(ctx context.Context, opts options) ([]measurement, error) {
	t, err := startTier(ctx, opts.bin)
	if err != nil {
		return nil, err
	}
	defer t.stop()
	if _, err := t.runLoad(ctx, "judges", 50, opts.step); err != nil { // warms up
		return nil, err
	}
	stepMicros := 1e6 * opts.step.Seconds()
	measurements, err := t.measureIdle(opts.step)
	if err != nil {
		return nil, err
	}
	var relayAll, bytesAll, framesAll []point
	var costsPerQuery []point
	for _, l := range searchLoads {
		var gateway, relay []point
		for _, rate := range l.rates {
			result, err := t.runLoad(ctx, l.search, rate, opts.step)
			if err != nil {
				return nil, err
			}
			gateway = append(gateway, point{result.queries / opts.step.Seconds(), float64(result.gateway.cpuTime.Microseconds()) / stepMicros})
			relay = append(relay, point{result.relay.received / opts.step.Seconds(), float64(result.relay.cpuTime.Microseconds()) / stepMicros})
			bytesAll = append(bytesAll, point{result.relay.received / opts.step.Seconds(), result.relay.bytesOut / opts.step.Seconds()})
			framesAll = append(framesAll, point{result.relay.received / opts.step.Seconds(), result.relay.framesOut / opts.step.Seconds()})
		}
		relayAll = append(relayAll, relay...)
		m := newMeasurement(fmt.Sprintf("gateways, %d shards a query", l.shards), "processors", "query/s", gateway)
		costsPerQuery = append(costsPerQuery, point{float64(l.shards), 1e6 * m.Fit.Slope})
		measurements = append(measurements, m, newMeasurement(fmt.Sprintf("relays, %d shards a query", l.shards), "processors", "sub-request/s", relay))
	}
	return append(measurements,
		newMeasurement("gateway, a query", "us of processor", "shard of the query", costsPerQuery),
		newMeasurement("relays, all loads", "processors", "sub-request/s", relayAll),
		newMeasurement("relays, sent on links", "bytes/s", "sub-request/s", bytesAll),
		newMeasurement("relays, sent on links", "frames/s", "sub-request/s", framesAll),
	), nil
}
