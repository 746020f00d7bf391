package quota

import (
	"fmt"
	"testing"
	"time"
)

// Guards against bursts of all processes at once that exceed the bound, and against refusals
// of a burst that the quota allows.
func TestBursts(t *testing.T) {
	eachFleet(t, func(t *testing.T, s *sim) {
		const span = 60 * time.Second
		from := s.settle()
		modest := s.addModest(span)
		within, beyond := s.add("within", large), s.add("beyond", large)
		for i := range 6 {
			at := from.Add(time.Duration(i)*10*time.Second + time.Second)
			for range int(large.Burst) {
				s.at(at.Add(time.Duration(s.rand.Int64N(int64(20*time.Millisecond)))), func() { s.send(within, s.rand.IntN(len(s.nodes))) })
			}
			for range 300 {
				s.at(at.Add(time.Duration(s.rand.Int64N(int64(200*time.Millisecond)))), func() { s.send(beyond, s.rand.IntN(len(s.nodes))) })
			}
		}
		s.run(span)
		s.checkBound()
		s.checkAdmitted(within, from)
		s.checkModest(modest, from)
	})
}

// Guards against a changed quota that is not in force in time, and against the loss of what
// it allows.
func TestQuotaChanges(t *testing.T) {
	for name, to := range map[string]Limit{"raised": {Rate: 40, Burst: 40}, "lowered": {Rate: 2, Burst: 2}, "removed": {}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			eachFleet(t, func(t *testing.T, s *sim) {
				const span = 60 * time.Second
				from := s.settle()
				hot := s.add("hot", large)
				s.load(hot, 60, span, random, s.everywhere())
				s.at(from.Add(20*time.Second), func() { s.change(hot, to) })
				s.run(span)
				s.checkBound()
				changed := from.Add(30 * time.Second)
				if to.Rate > 0 {
					s.checkUsed(hot, to, changed)
				} else {
					s.checkAdmitted(hot, changed)
				}
			})
		})
	}
}

// change changes a quota; processes learn of it within three seconds.
func (s *sim) change(o *organisation, limit Limit) {
	o.past = append(o.past, change{s.now, limit})
	for _, n := range s.nodes {
		s.after(time.Duration(s.rand.Int64N(int64(3*time.Second))), func() { n.limits[IDOf(o.name)] = limit })
	}
}

func (s *sim) kill(i int) { s.nodes[i].down = true }

// restart kills a process and starts it again a second later.
func (s *sim) restart(i int) {
	s.kill(i)
	s.after(time.Second, func() { s.start(i) })
}

// Guards against counts that are lost, and requests that are refused, while processes
// restart.
func TestRestarts(t *testing.T) {
	for name, restart := range map[string]func(s *sim){
		"one after another": func(s *sim) {
			for i := range s.nodes {
				s.after(time.Duration(i)*60*time.Second/time.Duration(len(s.nodes)), func() { s.restart(i) })
			}
		},
		"all at once": func(s *sim) {
			s.after(20*time.Second, func() {
				for i := range s.nodes {
					s.restart(i)
				}
			})
		},
		"coordinators of the hot organisation": func(s *sim) {
			for i := range 5 {
				s.after(time.Duration(i)*10*time.Second+5*time.Second, func() {
					for _, c := range s.nodes[0].limiter.fleet.candidates(IDOf("hot"))[:inCharge] {
						for j, n := range s.nodes {
							if n.name == c.name && !n.down {
								s.restart(j)
								return
							}
						}
					}
				})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			eachFleet(t, func(t *testing.T, s *sim) {
				const span = 80 * time.Second
				from := s.settle()
				modest := s.addModest(span)
				hot := s.add("hot", large)
				s.load(hot, large.Rate/1.6*5, span, random, s.everywhere())
				usual := s.add("usual", large)
				s.load(usual, large.Rate/1.6, span, random, s.everywhere())
				restart(s)
				s.run(span)
				s.checkBound()
				s.checkUsed(hot, large, from)
				s.checkAdmitted(usual, from)
				s.checkModest(modest, from)
				t.Logf("without a share: %d of the usual organisation", usual.noShare)
			})
		})
	}
}

// Guards against two coordinators that both grant the quota while processes join.
func TestProcessesJoin(t *testing.T) {
	eachFleet(t, func(t *testing.T, s *sim) {
		const span = 60 * time.Second
		for i := range (len(s.nodes) + 1) / 2 {
			s.start(i)
		}
		s.run(12 * time.Second)
		from := s.now
		modest := s.addModest(span)
		hot := s.add("hot", large)
		s.load(hot, large.Rate/1.6*5, span, random, s.everywhere())
		for i := (len(s.nodes) + 1) / 2; i < len(s.nodes); i++ {
			s.after(10*time.Second+time.Duration(s.rand.Int64N(int64(20*time.Second))), func() { s.start(i) })
		}
		s.run(span)
		s.checkBound()
		s.checkUsed(hot, large, from)
		s.checkModest(modest, from)
	})
}

// partition splits the fleet for a minute: side tells which side each process is on.
func (s *sim) partition(side func(i int) int) {
	for i, n := range s.nodes {
		n.side = side(i)
	}
	s.after(time.Minute, func() {
		for _, n := range s.nodes {
			n.side = 0
		}
	})
}

// Guards against parts of the fleet that each grant the whole quota, as they do not reach
// each other.
func TestPartition(t *testing.T) {
	for name, side := range map[string]func(s *sim, i int) int{
		"third": func(s *sim, i int) int { return i % 3 / 2 },
		"half":  func(s *sim, i int) int { return i % 2 },
		"one":   func(s *sim, i int) int { return 1 / (1 + i) },
		"third apart": func(s *sim, i int) int {
			if i%3 == 2 {
				return i
			}
			return 0
		},
		"all apart": func(s *sim, i int) int { return i },
	} {
		for _, start := range []time.Duration{0, 10 * time.Second, 40 * time.Second} {
			t.Run(fmt.Sprint(name, " hot after ", start), func(t *testing.T) {
				t.Parallel()
				eachFleet(t, func(t *testing.T, s *sim) {
					const span = 100 * time.Second
					from := s.settle()
					hot := s.add("hot", large)
					s.after(start, func() { s.load(hot, large.Rate/1.6*5, span, random, s.everywhere()) })
					s.after(10*time.Second, func() { s.partition(func(i int) int { return side(s, i) }) })
					s.run(span)
					s.checkBound()
					if name == "one" && len(s.nodes) > 3 {
						s.checkUsed(hot, large, from.Add(start))
					}
					s.checkUsed(hot, large, from.Add(80*time.Second))
				})
			})
		}
	}
}
