package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// contactTime is the published time from the third end until all processes must
	// know it, on the smaller deployments; lateSends is how often a request may be sent
	// after that.
	contactTime = 4 * time.Second
	lateSends   = 3
	// maxRate bounds what a process sends, in bytes per second: a part of the 5 KB that
	// all control may take.
	maxRate = 2500

	step         = 50 * time.Millisecond
	roundSteps   = 20 // between regular messages
	tickSteps    = 5  // between ticks of a process
	simFanout    = 6
	regularPeers = 2
	messageLoss  = 0.05
	simAttempts  = 3 // of a request at one process
)

// fleet runs processes in scripted time. Messages arrive in the next step.
type fleet struct {
	rng       *rand.Rand
	now       time.Time
	steps     int
	processes []*State
	// cut reports whether two processes cannot reach each other; nil for none.
	cut     func(a, b int) bool
	inbox   []delivery
	bytes   []int
	targets int
	// crashed are when targets ended under the crashing request, and sent when it was
	// sent.
	crashed, sent []time.Time
	repeats       int
	waiting       []*repeat
	refused       int // repeats that were sent to no target
}

type delivery struct {
	from, to int
	reports  []Report
	initial  bool // a request for all that is known
}

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, uint64(n))), now: epoch, processes: make([]*State, n), bytes: make([]int, n)}
	for i := range f.processes {
		f.restart(i)
	}
	return f
}

// restart starts a process anew. It asks two others for what they know.
func (f *fleet) restart(i int) {
	f.processes[i] = New(Options{Self: fmt.Sprint("p", i), StartedAt: f.now})
	for range regularPeers {
		f.post(i, f.rng.IntN(len(f.processes)), nil, true)
	}
}

func (f *fleet) post(from, to int, reports []Report, initial bool) {
	if from == to || f.rng.Float64() < messageLoss || (f.cut != nil && f.cut(from, to)) {
		return
	}
	if len(reports) > 0 {
		data, err := cbor.Marshal(reports)
		if err != nil {
			panic(err)
		}
		f.bytes[from] += len(data)
	}
	f.inbox = append(f.inbox, delivery{from, to, reports, initial})
}

func (f *fleet) spread(i int) {
	if reports := f.processes[i].Urgent(f.now, simFanout); reports != nil {
		for range simFanout {
			f.post(i, f.rng.IntN(len(f.processes)), reports, false)
		}
	}
}

// run advances the time by d. Before each step it calls script.
func (f *fleet) run(d time.Duration, script func(elapsed time.Duration)) {
	for elapsed := time.Duration(0); elapsed < d; elapsed += step {
		if script != nil {
			script(elapsed)
		}
		f.now = f.now.Add(step)
		f.steps++
		waiting := f.waiting
		f.waiting = nil
		for _, q := range waiting {
			f.proceed(q)
		}
		arrived := f.inbox
		f.inbox = nil
		for _, m := range arrived {
			p := f.processes[m.to]
			if objections := p.Receive(f.now, m.reports); objections != nil {
				f.post(m.to, m.from, objections, false)
			}
			if m.initial {
				f.post(m.to, m.from, p.Regular(f.now, MaxInitialReports), false)
			}
			f.spread(m.to)
		}
		for i, p := range f.processes {
			if (f.steps+i)%tickSteps == 0 {
				f.spread(i)
			}
			if (f.steps+i)%roundSteps == 0 {
				p.Tick(f.now)
				for range regularPeers {
					f.post(i, f.rng.IntN(len(f.processes)), p.Regular(f.now, maxRegularReports), false)
				}
			}
		}
	}
}

// repeat is a repeat of a request at process i. Each target that runs it ends if crash is
// true.
type repeat struct {
	i        int
	r        Request
	crash    bool
	attempts int
}

// serve serves a repeat of a request. One that waits is asked again in the next step.
func (f *fleet) serve(i int, r Request, crash bool) {
	f.repeats++
	r.ID = fmt.Sprint("r", f.repeats)
	f.proceed(&repeat{i: i, r: r, crash: crash})
}

func (f *fleet) proceed(q *repeat) {
	p := f.processes[q.i]
	if q.attempts == 0 && p.Refusal(f.now, &q.r) > 0 {
		f.refused++
		return
	}
	for at := f.now; q.attempts < simAttempts; q.attempts++ {
		switch p.Check(at, &q.r, 0) {
		case Wait:
			f.waiting = append(f.waiting, q)
			return
		case Refuse:
			if q.attempts == 0 {
				f.refused++
			}
			return
		}
		f.targets++
		if q.crash {
			f.sent = append(f.sent, at)
		}
		run := Run{Target: fmt.Sprint("t", f.targets), StartedAt: at, EndedAt: at.Add(5 * time.Millisecond)}
		at = run.EndedAt
		if !q.crash {
			p.Completed(at, &q.r)
			return
		}
		f.crashed = append(f.crashed, at)
		p.Broke(at, &q.r, run)
		at = at.Add(time.Millisecond)
		p.Confirm(at, run.Target, 0, true)
	}
}

// lateSent returns how often the crashing request was sent later than contactTime after its
// third crash.
func (f *fleet) lateSent() (n int) {
	for _, at := range f.sent {
		if len(f.crashed) >= 3 && at.After(f.crashed[2].Add(contactTime)) {
			n++
		}
	}
	return n
}

func (f *fleet) checkBytes(t *testing.T, from time.Time) {
	t.Helper()
	most := 0
	for i := range f.bytes {
		most = max(most, f.bytes[i])
	}
	rate := float64(most) / f.now.Sub(from).Seconds()
	t.Logf("at most %.0f bytes a second from one of %d processes", rate, len(f.processes))
	if rate > maxRate {
		t.Errorf("a process sent %.0f bytes a second, allowed %d", rate, maxRate)
	}
}

var fleetSizes = []int{1, 6, 9, 75, 195, 460}

// Guards against a request that crashes targets being sent by processes that have not seen
// it crash any: its repeats come to all, some from several addresses, one attempt each.
func TestAllProcessesKnowInTime(t *testing.T) {
	for _, n := range fleetSizes {
		for seed := range uint64(8) {
			f := newFleet(seed, n)
			f.run(time.Second, nil)
			from := f.now
			callers := 1 + int(seed%3)
			f.run(25*time.Second, func(elapsed time.Duration) {
				if elapsed%(300*time.Millisecond) == 0 {
					f.serve(f.rng.IntN(n), *request(fmt.Sprint("c", f.rng.IntN(callers)), "/x"), true)
				}
			})
			if late := f.lateSent(); late > lateSends {
				t.Errorf("%d processes, seed %d: sent %d times late, allowed %d", n, seed, late, lateSends)
			}
			if most := 3 + callers*simAttempts + 4; len(f.crashed) > most {
				t.Errorf("%d processes, seed %d: %d targets ended, want at most %d", n, seed, len(f.crashed), most)
			}
			f.checkBytes(t, from)
		}
	}
}

// Guards against what is known being forgotten while processes restart one after the other,
// and being unknown at those that were cut off.
func TestRestartsAndPartitions(t *testing.T) {
	for _, n := range []int{6, 9, 75} {
		for seed := range uint64(6) {
			f := newFleet(seed, n)
			f.run(time.Second, nil)
			// Half of the processes cannot reach the others until the request has crashed
			// targets.
			f.cut = func(a, b int) bool { return (a < n/2) != (b < n/2) }
			f.run(3*time.Second, func(elapsed time.Duration) {
				if elapsed%(300*time.Millisecond) == 0 {
					f.serve(f.rng.IntN(n/2), *request("c", "/x"), true)
				}
			})
			f.cut = nil
			f.run(contactTime, nil)
			before := len(f.sent)
			restart := 0
			f.run(20*time.Second, func(elapsed time.Duration) {
				if elapsed%(20*time.Second/time.Duration(n)).Round(step) == 0 {
					f.restart(restart % n)
					restart++
				}
				if elapsed%(300*time.Millisecond) != 0 {
					return
				}
				// Processes that have just started are not in touch.
				if i := f.rng.IntN(n); f.now.Sub(f.processes[i].opts.StartedAt) > contactTime {
					f.serve(i, *request("c", "/x"), true)
				}
			})
			if late := len(f.sent) - before; late > lateSends {
				t.Errorf("%d processes, seed %d: sent %d times after the cut and during restarts, allowed %d", n, seed, late, lateSends)
			}
		}
	}
}

// Guards against a popular sound request being refused: targets crash under it, one after
// the other and many at once, at processes that have not seen it complete.
func TestPopularRequestIsNeverQuarantined(t *testing.T) {
	for _, n := range fleetSizes {
		for seed := range uint64(6) {
			f := newFleet(seed, n)
			f.run(time.Second, nil)
			r := *request("c", "/x")
			f.run(40*time.Second, func(elapsed time.Duration) {
				// It is completed several times a second by the whole fleet.
				if elapsed%(150*time.Millisecond) == 0 {
					f.serve(f.rng.IntN(n), r, false)
				}
				switch {
				case elapsed%(2*time.Second) == 0: // targets end one after the other
					for range 4 {
						f.end(f.rng.IntN(n), r, f.now)
					}
				case elapsed%(5*time.Second) == 0: // many targets end at once
					at := f.now
					for range 20 {
						f.end(f.rng.IntN(n), r, at)
					}
				}
			})
			f.run(time.Second, nil)
			if f.refused > 0 || len(f.waiting) > 0 {
				t.Errorf("%d processes, seed %d: the sound request was refused %d times, and %d wait", n, seed, f.refused, len(f.waiting))
			}
		}
	}
}

// end lets a target end while process i runs the request there, whatever the cause.
func (f *fleet) end(i int, r Request, startedAt time.Time) {
	f.targets++
	run := Run{Target: fmt.Sprint("t", f.targets), StartedAt: startedAt, EndedAt: f.now.Add(20 * time.Millisecond)}
	f.processes[i].Broke(run.EndedAt, &r, run)
	f.processes[i].Confirm(run.EndedAt, run.Target, 0, true)
}

// Guards against messages that grow with the number of requests that fail, of one caller and
// of many, and against a verdict that is lost among them.
func TestFloodOfFailingRequestsIsBounded(t *testing.T) {
	const n = 75
	for _, callers := range []int{1, 1000} {
		f := newFleet(1, n)
		f.run(time.Second, nil)
		from := f.now
		f.run(10*time.Second, func(elapsed time.Duration) {
			for range 20 {
				r := request(fmt.Sprint("c", f.rng.IntN(callers)), fmt.Sprint("/", f.rng.IntN(1_000_000)))
				f.end(f.rng.IntN(n), *r, f.now)
			}
			if elapsed%(300*time.Millisecond) == 0 {
				f.serve(f.rng.IntN(n), *request("culprit", "/x"), true)
			}
		})
		f.checkBytes(t, from)
		if late := f.lateSent(); late > lateSends {
			t.Errorf("%d callers: sent %d times late, allowed %d", callers, late, lateSends)
		}
	}
}

// A report that no process would send must change nothing for other requests, and must not
// end the process.
func FuzzReceive(f *testing.F) {
	p := newProcess("a")
	r := request("c", "/x")
	for range 3 {
		p.crash(r)
	}
	valid, err := cbor.Marshal(p.Regular(p.now, 8))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Fuzz(func(t *testing.T, data []byte) {
		var reports []Report
		if cbor.Unmarshal(data, &reports) != nil {
			return
		}
		p := newProcess("b")
		for range 3 {
			p.Receive(p.now, reports)
			p.Urgent(p.now, 4)
			p.wait(time.Second)
			p.Tick(p.now)
		}
		if len(p.subjects) > maxSubjects {
			t.Errorf("%d requests are remembered", len(p.subjects))
		}
		for _, j := range p.subjects {
			if len(j.ends) > maxEnds || len(j.path) > maxDescription || len(j.caller) > maxDescription {
				t.Errorf("a request with %d ends, a path of %d and a caller of %d bytes is kept", len(j.ends), len(j.path), len(j.caller))
			}
			for i := range j.ends {
				if len(j.ends[i].Target) > maxDescription {
					t.Errorf("a target ID of %d bytes is kept", len(j.ends[i].Target))
				}
			}
		}
	})
}

// Guards against the news of a request that crashes targets being held up by those of the
// requests that were in progress at the same targets. Each repeat ends a target of each of
// many shards at once, then those that its retry goes to, and others are in progress there.
func TestBystandersDoNotHoldUpNews(t *testing.T) {
	const (
		shards     = 20
		bystanders = 12
	)
	for _, n := range []int{9, 75, 195} {
		for seed := range uint64(4) {
			f := newFleet(seed, n)
			f.run(time.Second, nil)
			from := f.now
			repeats := 0
			f.run(20*time.Second, func(elapsed time.Duration) {
				if elapsed%time.Second != 0 {
					return
				}
				repeats++
				i := f.rng.IntN(n)
				culprit := *request("c", "/x")
				if p := f.processes[i]; p.Refusal(f.now, &culprit) > 0 || p.Check(f.now, &culprit, 0) != Send {
					return
				}
				f.sent = append(f.sent, f.now)
				for wave := range 2 { // the first attempts, then the retries
					at := f.now.Add(time.Duration(wave) * 40 * time.Millisecond)
					for range shards {
						f.targets++
						run := Run{Target: fmt.Sprint("i-000000000", f.targets), StartedAt: at, EndedAt: at.Add(30 * time.Millisecond)}
						f.endAt(i, culprit, run)
						for b := range bystanders {
							f.endAt(b*7%n, *request(fmt.Sprint("c", b), fmt.Sprint("/bystander/", repeats, "/", b)), run)
						}
					}
					f.crashed = append(f.crashed, at, at, at)
				}
			})
			if late := f.lateSent(); late > lateSends {
				t.Errorf("%d processes, seed %d: sent %d times late, allowed %d", n, seed, late, lateSends)
			}
			t.Logf("%d processes, seed %d: sent %d times", n, seed, len(f.sent))
			f.checkBytes(t, from)
		}
	}
}

// endAt records the end of a run of a target while process i ran the request there.
func (f *fleet) endAt(i int, r Request, run Run) {
	f.processes[i].Broke(run.EndedAt, &r, run)
	f.processes[i].Confirm(run.EndedAt, run.Target, 0, true)
}

// Guards against trials that several processes begin at once, and against targets that go on
// ending while the fault is not mended. Then the fault is mended: the request must be served
// everywhere within a term.
func TestTrialsOfFleet(t *testing.T) {
	const (
		span   = 12 * time.Minute
		trials = 3 // after 30 s, 2.5 and 10.5 minutes
	)
	for _, n := range []int{6, 75} {
		for seed := range uint64(3) {
			f := newFleet(seed, n)
			f.run(time.Second, nil)
			f.run(span, func(elapsed time.Duration) {
				if elapsed%(500*time.Millisecond) == 0 {
					f.serve(f.rng.IntN(n), *request(fmt.Sprint("c", f.rng.IntN(2)), "/x"), true)
				}
			})
			t.Logf("%d processes, seed %d: sent %d times late in %v", n, seed, f.lateSent(), span)
			if late := f.lateSent(); late < trials-1 || late > lateSends {
				t.Errorf("%d processes, seed %d: sent %d times late in %v, want %d to %d", n, seed, late, span, trials-1, lateSends)
			}
			f.run(maxTerm, func(elapsed time.Duration) {
				if elapsed%(2*time.Second) == 0 {
					f.serve(f.rng.IntN(n), *request(fmt.Sprint("c", f.rng.IntN(2)), "/x"), false)
				}
			})
			f.refused = 0
			f.refused = 0
			f.run(30*time.Second, func(elapsed time.Duration) {
				if elapsed%(500*time.Millisecond) == 0 {
					f.serve(f.rng.IntN(n), *request("c0", "/x"), false)
				}
			})
			if f.refused > 0 {
				t.Errorf("%d processes, seed %d: refused %d times after the fault was mended", n, seed, f.refused)
			}
		}
	}
}

// Guards against a popular sound request being refused by a process that is cut off from the
// others while targets end under the request there.
func TestPopularRequestIsServedByProcessThatIsCutOff(t *testing.T) {
	for _, n := range []int{6, 9, 75} {
		for seed := range uint64(6) {
			f := newFleet(seed, n)
			r := *request("c", "/x")
			popular := func(elapsed time.Duration) {
				if elapsed%(150*time.Millisecond) == 0 {
					f.serve(f.rng.IntN(n), r, false)
				}
			}
			f.run(5*time.Second, popular)
			f.cut = func(a, b int) bool { return a == 0 || b == 0 }
			f.run(10*time.Second, func(elapsed time.Duration) {
				popular(elapsed)
				if elapsed%(2*time.Second) == 0 {
					f.end(0, r, f.now)
				}
			})
			f.cut = nil
			f.run(10*time.Second, popular)
			if f.refused > 0 {
				t.Errorf("%d processes, seed %d: the sound request was refused %d times", n, seed, f.refused)
			}
		}
	}
}
