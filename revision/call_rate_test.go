package revision

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// serviceCallRate is the number of calls per second that the service can serve.
// A waiting watch counts as one.
const serviceCallRate = 2000

// The calls of a fleet must not overload the service, neither without changes,
// after a change, nor while the service is down.
func TestCallsWithinServiceCallRate(t *testing.T) {
	const processes = 920
	var all []string
	for i := range processes {
		all = append(all, fmt.Sprintf("entry-%d", i))
	}
	for _, down := range []bool{false, true} {
		calls := map[time.Duration]int{}
		watchers := 0
		for i, name := range all {
			p := NewPacer(Options{Rand: rand.New(rand.NewPCG(2, uint64(i)))})
			watch := p.Watches(name, all)
			if watch {
				watchers++
			}
			for at := time.Duration(0); at < 2*time.Minute; {
				delay, wait := p.Next(watch, down)
				at += delay
				calls[at.Truncate(time.Second)]++
				if !down {
					at += wait
				}
			}
		}
		most := 0
		for _, n := range calls {
			most = max(most, n)
		}
		t.Logf("down %v: %d watchers, at most %d new calls per second", down, watchers, most)
		if most+watchers+DefaultFleetReadRate > serviceCallRate || watchers != DefaultMaxWatchers {
			t.Errorf("down %v: %d new calls, %d waiting watches and %d reads in one second, want at most %d together", down, most, watchers, DefaultFleetReadRate, serviceCallRate)
		}
	}
}

// If all processes start at once and have many files to read, their reads must
// not overload the service.
func TestFleetStartWithinServiceCallRate(t *testing.T) {
	const processes = 920
	files := content{}
	for i := range 60 {
		files[fmt.Sprint(i)] = fmt.Sprint(i)
	}
	reads := map[time.Duration]int{}
	for i := range processes {
		s := New(start, Options{Validate: validate, Rand: rand.New(rand.NewPCG(3, uint64(i)))})
		s.ManifestReceived(start, Service, manifest(1, files))
		s.SetPeers(start, nil, processes)
		for at := time.Duration(0); at < 20*time.Second; at += step {
			actions := s.Tick(start.Add(at))
			for len(actions) > 0 {
				r, ok := actions[0].(ReadFile)
				actions = actions[1:]
				if ok {
					reads[at.Truncate(time.Second)]++
					actions = append(actions, s.FileRead(start.Add(at), r.Name, r.SHA256, []byte(files[r.Name]))...)
				}
			}
		}
	}
	for at, n := range reads {
		// Each watcher may have two calls in this second: one that ended, and one
		// that waits.
		if n+2*DefaultMaxWatchers > serviceCallRate {
			t.Errorf("%d reads in the second after %v exceed the service's call rate with %d watchers", n, at, DefaultMaxWatchers)
		}
	}
}
