package follow

import (
	"context"
	"encoding/hex"
	"log/slog"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

// The types below are the layout of the items of a feed at commit ba52cb5. They must not
// follow changes of the layout.

type formerRoute struct {
	Name             string
	Host             string
	Prefix           string
	Idempotent       bool
	Timeout          time.Duration
	LatencyObjective time.Duration `cbor:"Aim"`
	MaxAttempts      int
	Priority         int
	Split            []catalog.WeightedService `cbor:"Parts"`
	Shards           []string
	TopK             int     `cbor:"Top"`
	MinShardFraction float64 `cbor:"MinShare"`
}

type formerConfig struct {
	Version  uint64
	Routes   []*formerRoute
	Services []*catalog.Service
	Limits   catalog.Limits
}

type formerItem struct {
	Kind     catalog.Kind    `cbor:"1,keyasint"`
	Name     string          `cbor:"2,keyasint,omitempty"`
	Revision uint64          `cbor:"3,keyasint"`
	Deleted  bool            `cbor:"4,keyasint,omitempty"`
	Config   *formerConfig   `cbor:"5,keyasint,omitempty"`
	Target   *catalog.Target `cbor:"6,keyasint,omitempty"`
	Err      string          `cbor:"7,keyasint,omitempty"`
}

// recordedResponse returns the response to a listing as the build of commit ba52cb5 encoded
// it: a configuration, a target and an evacuation.
func recordedResponse(t *testing.T) wire.FeedResponse {
	t.Helper()
	text, err := os.ReadFile("../wire/testdata/build-ba52cb5/frame.hex")
	if err != nil {
		t.Fatal(err)
	}
	data, err := hex.DecodeString(strings.ReplaceAll(string(text), "\n", ""))
	if err != nil {
		t.Fatal(err)
	}
	f, err := wire.Decode(data)
	if err != nil || len(f.FeedResponses) != 1 {
		t.Fatalf("frame %+v, error %v", f, err)
	}
	return f.FeedResponses[0]
}

// withOrganisations returns a configuration that the former build would not enforce.
func withOrganisations(version uint64) *catalog.Config {
	return &catalog.Config{
		Version: version, Schema: catalog.ConfigSchema,
		Routes:        []*catalog.Route{{Name: "r", Host: "a.example", Prefix: "/r/", Public: true, Split: []catalog.WeightedService{{Service: "s1", Weight: 1}}}},
		Services:      []*catalog.Service{{Name: "s1", MaxConnections: 4}},
		Organisations: []*catalog.Organisation{{Name: "alpha", Keys: []catalog.KeyHash{catalog.HashKey("alpha-key")}, Rate: 9}},
	}
}

// passOn returns what the former build passes on of a response: it decodes the items to its
// own layout and encodes them again.
func passOn(t *testing.T, response wire.FeedResponse) wire.FeedResponse {
	t.Helper()
	var items []formerItem
	if err := cbor.Unmarshal(response.Items, &items); err != nil {
		t.Fatalf("the former build does not decode the items: %v", err)
	}
	data, err := cbor.Marshal(items)
	if err != nil {
		t.Fatal(err)
	}
	response.Items = data
	return response
}

// Guards against a configuration without organisations in force in a process that read it
// from a peer of the former build: it would require no keys and pass keys on to targets.
func TestConfigurationOfFormerBuildIsNotTaken(t *testing.T) {
	response := recordedResponse(t)
	if b, err := decodeBatch(&response); !errors.Is(err, ErrFormerSchema) || len(b.Items) > 0 {
		t.Errorf("recorded listing: items %+v, error %v, want ErrFormerSchema", b.Items, err)
	}
	current, err := encodeItems(wire.FeedResponse{Revision: 9}, []catalog.Item{{Kind: catalog.KindConfig, Revision: 7, Config: withOrganisations(5)}})
	if err != nil {
		t.Fatal(err)
	}
	relayed := passOn(t, current)
	if b, err := decodeBatch(&relayed); !errors.Is(err, ErrFormerSchema) || len(b.Items) > 0 {
		t.Errorf("configuration that the former build has passed on: items %+v, error %v, want ErrFormerSchema", b.Items, err)
	}
	b, err := decodeBatch(&current)
	if err != nil || len(b.Items) != 1 || b.Items[0].Config.Schema != catalog.ConfigSchema || len(b.Items[0].Config.Organisations) != 1 || !b.Items[0].Config.Routes[0].Public {
		t.Errorf("configuration of this build: %+v, error %v", b.Items, err)
	}
}

// An item that the former build could not read may be one that this build can: it must not be
// taken for a faulty configuration.
func TestUnreadableConfigurationOfFormerBuildIsNotTaken(t *testing.T) {
	data, err := cbor.Marshal([]formerItem{{Kind: catalog.KindConfig, Revision: 7, Err: "unreadable"}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decodeBatch(&wire.FeedResponse{Revision: 9, Items: data}); !errors.Is(err, ErrFormerSchema) {
		t.Errorf("error %v, want ErrFormerSchema", err)
	}
}

// Targets and evacuations of a peer of the former build are complete, and a process that the
// store has failed needs them.
func TestTargetsOfFormerBuildAreTaken(t *testing.T) {
	response := recordedResponse(t)
	var items []formerItem
	if err := cbor.Unmarshal(response.Items, &items); err != nil || len(items) != 3 || items[0].Config.Version != 5 {
		t.Fatalf("recorded items %+v, error %v", items, err)
	}
	data, err := cbor.Marshal(items[1:])
	if err != nil {
		t.Fatal(err)
	}
	response.Items = data
	b, err := decodeBatch(&response)
	if err != nil || len(b.Items) != 2 || b.Items[0].Target.Address != "10.0.0.7:80" || b.Items[0].Target.Incarnation != 1700000000000 || b.Items[1].Name != "dc2" {
		t.Fatalf("batch %+v, error %v, want the target and the evacuation", b, err)
	}
}

// A later build may have fields that this one drops. What this one passes on is then of its
// own schema, whatever the schema it was read with.
func TestConfigurationOfLaterBuildIsPassedOnWithOwnSchema(t *testing.T) {
	data, err := cbor.Marshal([]feedItem{{Kind: catalog.KindConfig, Revision: 7, Config: withOrganisations(5), Schema: catalog.ConfigSchema + 1}})
	if err != nil {
		t.Fatal(err)
	}
	b, err := decodeBatch(&wire.FeedResponse{Revision: 9, Items: data})
	if err != nil || len(b.Items) != 1 {
		t.Fatalf("batch %+v, error %v", b, err)
	}
	response, err := encodeItems(wire.FeedResponse{}, b.Items)
	if err != nil {
		t.Fatal(err)
	}
	var items []feedItem
	if err := cbor.Unmarshal(response.Items, &items); err != nil || items[0].Schema != catalog.ConfigSchema {
		t.Errorf("passed on %+v, error %v, want schema %d", items, err, catalog.ConfigSchema)
	}
}

// The former build must be able to read the feed of this one as before.
func TestFormerBuildReadsFeed(t *testing.T) {
	target := &catalog.Target{ID: "t1", Service: "s1", Address: "10.0.0.7:80", DataCentre: "dc1", Slots: 2, Sequence: 3}
	feed := NewFeed()
	feed.Listed(time.Now(), Batch{Revision: 9, Items: []catalog.Item{
		{Kind: catalog.KindConfig, Revision: 7, Config: withOrganisations(5)}, {Kind: catalog.KindTarget, Name: "t1", Revision: 8, Target: target},
	}})
	response, err := feed.Respond(context.Background(), wire.FeedRequest{List: true})
	if err != nil {
		t.Fatal(err)
	}
	var items []formerItem
	if err := cbor.Unmarshal(response.Items, &items); err != nil || len(items) != 2 {
		t.Fatalf("items %+v, error %v", items, err)
	}
	for _, it := range items {
		switch {
		case it.Kind == catalog.KindConfig && (it.Config.Version != 5 || it.Config.Routes[0].Prefix != "/r/" || it.Config.Services[0].MaxConnections != 4):
			t.Errorf("configuration %+v", it.Config)
		case it.Kind == catalog.KindTarget && *it.Target != *target:
			t.Errorf("target %+v, want %+v", it.Target, target)
		}
	}
}

// formerPeers responds as peers of the former build do. Without a list, nothing has changed.
type formerPeers struct{ listing wire.FeedResponse }

func (p formerPeers) RequestFeed(_ context.Context, _ string, request wire.FeedRequest) (wire.FeedResponse, error) {
	if request.List {
		return p.listing, nil
	}
	return wire.FeedResponse{Revision: p.listing.Revision, Era: p.listing.Era, AgeMillis: 40}, nil
}

func newFollower(source *MultiSource, state *catalog.State, views chan *catalog.View) *Follower {
	return New(Options{
		Source: source,
		Scheduler: NewScheduler(SchedulerOptions{
			Wait: 50 * time.Millisecond, MinCoalesce: time.Millisecond, MaxCoalesce: time.Millisecond, ProbeWait: time.Millisecond,
			MinBackoff: 5 * time.Millisecond, MaxBackoff: 10 * time.Millisecond, MaxInitialBackoff: 10 * time.Millisecond, Rand: rand.New(rand.NewPCG(1, 1)),
		}),
		Catalog: state, Logger: slog.New(slog.DiscardHandler), Feed: NewFeed(),
		Publish: func(v *catalog.View) { views <- v }, TickInterval: 10 * time.Millisecond,
	})
}

// A process that cannot reach the store and has only peers of the former build must not
// become ready with their configuration. It gets none, and is not ready.
func TestProcessWithOnlyFormerPeersStaysUnconfigured(t *testing.T) {
	listing := recordedResponse(t)
	source := NewMultiSource(failingStore{}, formerPeers{listing}, NewSelector(Process{Name: "a", DataCentre: "dc1"}, time.Second, rand.New(rand.NewPCG(1, 1))), slog.New(slog.DiscardHandler))
	source.SetPeers([]Process{{Name: "b", DataCentre: "dc1", FormerSchema: true}, {Name: "c", DataCentre: "dc2"}}) // c's build is not known to be of the former schema yet
	views := make(chan *catalog.View, 1000)
	f := newFollower(source, catalog.NewState(catalog.StateOptions{}), views)
	f.Start()
	time.Sleep(300 * time.Millisecond)
	if err := f.Stop(); err != nil {
		t.Fatal(err)
	}
	if source.PeerRequests() == 0 {
		t.Error("no peer was asked while the store is down")
	}
	for len(views) > 0 {
		if v := <-views; v.Configured() {
			t.Fatalf("version %d of a peer of the former build is in force", v.Version)
		}
	}
	if !f.ConfirmedAt().IsZero() {
		t.Error("the state counts as confirmed")
	}
}

// onceStore responds to the first calls, then fails.
type onceStore struct {
	listed bool
	batch  Batch
}

func (s *onceStore) List(context.Context, bool) (Batch, error) {
	if s.listed {
		return Batch{}, errors.New("the store is down")
	}
	s.listed = true
	return s.batch, nil
}

func (s *onceStore) Watch(_ context.Context, after uint64, _ time.Duration) (Batch, error) {
	if after == 0 {
		return Batch{Revision: s.batch.Revision, Era: s.batch.Era}, nil
	}
	return Batch{}, errors.New("the store is down")
}

// A process that loses the store while all its peers are of the former build keeps the
// configuration with organisations that it has, also if the peers list a later version.
func TestProcessKeepsConfigurationBesideFormerPeers(t *testing.T) {
	listing := recordedResponse(t)
	listing.Revision = 9
	for name, peers := range map[string]FeedClient{
		"peers without changes": formerPeers{listing},
		"peers with a later version": feedFunc(func(wire.FeedRequest) (wire.FeedResponse, error) {
			later := passOn(t, listing)
			later.AgeMillis = 40
			return later, nil
		}),
	} {
		t.Run(name, func(t *testing.T) {
			store := &onceStore{batch: Batch{Era: 2, Revision: 9, Items: []catalog.Item{{Kind: catalog.KindConfig, Revision: 7, Config: withOrganisations(4)}}}}
			source := NewMultiSource(store, peers, NewSelector(Process{Name: "a", DataCentre: "dc1"}, time.Second, rand.New(rand.NewPCG(1, 1))), slog.New(slog.DiscardHandler))
			source.SetPeers([]Process{{Name: "b", DataCentre: "dc1", FormerSchema: true}})
			state := catalog.NewState(catalog.StateOptions{})
			b, err := source.List(context.Background(), false)
			if err != nil {
				t.Fatal(err)
			}
			now := time.Now()
			state.Replace(now, b.Items, catalog.Position{Era: b.Era, Revision: b.Revision})
			for range 20 {
				if b, err := source.Watch(context.Background(), 9, 10*time.Millisecond); err == nil {
					state.Apply(now, b.Items)
				}
				if b, err := source.List(context.Background(), false); err == nil {
					state.Replace(now, b.Items, catalog.Position{Era: b.Era, Revision: b.Revision})
				}
			}
			if source.PeerRequests() == 0 {
				t.Error("no peer was asked while the store is down")
			}
			if v := state.View(); v.Version != 4 || v.Organisations().Len() != 1 {
				t.Errorf("version %d with %d organisations is in force, want version 4 with one", v.Version, v.Organisations().Len())
			}
		})
	}
}

// feedFunc is a FeedClient that is a function.
type feedFunc func(request wire.FeedRequest) (wire.FeedResponse, error)

func (f feedFunc) RequestFeed(_ context.Context, _ string, request wire.FeedRequest) (wire.FeedResponse, error) {
	return f(request)
}

// In a large fleet, the first processes that are replaced have only peers of the former build.
// They must read the store, and not a peer that may drop organisations.
func TestFormerPeersAreNotRead(t *testing.T) {
	all := processes(75)
	for replaced := 1; replaced <= len(all); replaced++ {
		for i := range replaced {
			s := NewSelector(all[i], 5*time.Second, rand.New(rand.NewPCG(1, 2)))
			var peers []Process
			for j, p := range all {
				p.FormerSchema = j >= replaced
				if j != i {
					peers = append(peers, p)
				}
			}
			s.SetPeers(peers)
			for range 5 {
				if peer := s.Next(epoch); peer != "" && !isAmong(peer, all[:replaced]) {
					t.Fatalf("%d processes replaced: process %d reads from %s of the former build", replaced, i, peer)
				}
			}
		}
	}
}

func isAmong(name string, processes []Process) bool {
	for _, p := range processes {
		if p.Name == name {
			return true
		}
	}
	return false
}
