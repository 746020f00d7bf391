package share

import "time"

// Load is the rate of requests that a process serves, per second. It tells how much of a
// target's limit the process can use.
type Load struct {
	// Sharded is the rate of requests to one target of each shard, Single that of requests
	// to one target.
	Sharded, Single float64
}

// Process is one of the processes that share limits.
type Process struct {
	Name       string
	DataCentre string
	// Load is nil if it is not known.
	Load *Load
}

// Resource is a target whose limit is divided by expected demand.
type Resource struct {
	DataCentre string
	// Targets is the number of targets of its service by data centre, including itself.
	Targets map[string]int
	// Sharded is true if the service is a shard.
	Sharded bool
}

// evenPart is the part of a limit that is divided evenly. The rest is divided by expected
// demand, which may be wrong: a process may have to use a target elsewhere.
const evenPart = 0.5

// FractionOf returns the part, from 0 to 1, that this process has in the limit of a resource,
// by the demand that is expected of each process. The parts of processes that know the same
// members and loads add up to 1 at most. A process whose load is not known has an even part.
func (f *Fleet) FractionOf(r *Resource, processes []Process) float64 {
	even := f.Fraction()
	known, own, total := 0, 0.0, 0.0
	ownKnown := false
	for i := range processes {
		p := &processes[i]
		if p.Load == nil {
			continue
		}
		known++
		demand := r.demand(p)
		total += demand
		if p.Name == f.Self {
			own, ownKnown = demand, true
		}
	}
	if !ownKnown || total <= 0 {
		return even
	}
	return even * (evenPart + (1-evenPart)*float64(known)*own/total)
}

// demand returns how many requests per second a process is expected to send to the resource
// if it had no limit: processes prefer targets in their own data centre.
func (r *Resource) demand(p *Process) float64 {
	rate := p.Load.Single
	if r.Sharded {
		rate = p.Load.Sharded
	}
	if local := r.Targets[p.DataCentre]; local > 0 {
		if p.DataCentre != r.DataCentre {
			return 0
		}
		return rate / float64(local)
	}
	all := 0
	for _, n := range r.Targets {
		all += n
	}
	return rate / float64(max(all, 1))
}

// Times of a LoadMeter.
const (
	// loadWindow is the span that a load is measured over.
	loadWindow = 10 * time.Second
	// loadDelay is the time in which the other processes learn of a load. A process that goes
	// by its own load before the others do takes more than they leave to it.
	loadDelay = 6 * time.Second
)

// LoadMeter measures the load of this process. The zero value has no samples. It is not safe
// for concurrent use.
type LoadMeter struct {
	samples []loadSample // oldest first
}

// loadSample holds the numbers of requests since the start at a time.
type loadSample struct {
	at              time.Time
	sharded, single uint64
}

// Add records the numbers of requests since the start.
func (m *LoadMeter) Add(now time.Time, sharded, single uint64) {
	m.samples = append(m.samples, loadSample{now, sharded, single})
	for len(m.samples) > 1 && now.Sub(m.samples[1].at) >= loadWindow+loadDelay {
		m.samples = m.samples[1:]
	}
}

// Load returns the load to tell the other processes; nil until it is known.
func (m *LoadMeter) Load() *Load { return m.before(len(m.samples)) }

// Shared returns the load that the other processes know of and that has not decreased since;
// nil until there is one.
func (m *LoadMeter) Shared(now time.Time) *Load {
	n := len(m.samples)
	for n > 0 && now.Sub(m.samples[n-1].at) < loadDelay {
		n--
	}
	told, current := m.before(n), m.Load()
	if told == nil || current == nil {
		return nil
	}
	return &Load{Sharded: min(told.Sharded, current.Sharded), Single: min(told.Single, current.Single)}
}

// before returns the load at the last of the first n samples, or nil if they span less than
// half of loadWindow.
func (m *LoadMeter) before(n int) *Load {
	if n == 0 {
		return nil
	}
	last := m.samples[n-1]
	first := m.samples[0]
	for _, s := range m.samples[:n] {
		if last.at.Sub(s.at) < loadWindow {
			break
		}
		first = s
	}
	span := last.at.Sub(first.at)
	if span < loadWindow/2 {
		return nil
	}
	return &Load{
		Sharded: float64(last.sharded-first.sharded) / span.Seconds(),
		Single:  float64(last.single-first.single) / span.Seconds(),
	}
}
