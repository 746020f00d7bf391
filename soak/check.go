package soak

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/platform/platformtest"
)

// Bounds of the promises.
const (
	contact  = 4 * time.Second // after a harm, before time bounds hold
	drainUse = 3 * time.Second // for which a leaving target may get requests
	apply    = 3 * time.Second // in which a version is in force
	regress  = 500 * time.Millisecond
)

// callerWait is how long callers wait for an answer.
const callerWait = 1500 * time.Millisecond

// checker collects what callers saw and checks it.
type checker struct {
	site *site

	mu       sync.Mutex
	breaches []string
	counts   map[string]int
	sent     map[string]string // path by id
	refused  map[string]int    // status by id of requests that must not run
	seen     map[string]int    // newest version seen, by VM and incarnation
}

func newChecker(s *site) *checker {
	return &checker{
		site: s, counts: map[string]int{}, sent: map[string]string{}, refused: map[string]int{}, seen: map[string]int{},
	}
}

func (c *checker) breach(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaches = append(c.breaches, fmt.Sprintf(format, args...))
}

func (c *checker) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[what]++
}

// ask sends one request and checks its answer. It returns the status, 0 for none.
func (c *checker) ask(client *http.Client, v *vm, kind, id string) int {
	method, path := http.MethodGet, "/"+kind+"/"+id
	if kind == "once" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+v.caller+path, strings.NewReader("body of "+id))
	if err != nil {
		c.breach("request %s: %v", id, err)
		return 0
	}
	req.Host = platformtest.Host
	platformtest.SetRequestHeaders(req.Header, id, callerWait)
	c.mu.Lock()
	c.sent[id] = path
	c.mu.Unlock()
	sentAt, incarnation := time.Now(), v.incarnation()
	resp, err := client.Do(req)
	if err != nil {
		c.count(kind + " no answer")
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.count(kind + " cut")
		return 0
	}
	c.count(kind + " " + strconv.Itoa(resp.StatusCode))
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		c.mu.Lock()
		c.refused[id] = resp.StatusCode
		c.mu.Unlock()
	case resp.StatusCode >= 300 && resp.StatusCode < 500:
		c.breach("%s: a proper request is answered %d", id, resp.StatusCode)
	case resp.StatusCode == http.StatusOK && kind == "all":
		c.checkGathered(id, resp.Header, body)
	case resp.StatusCode == http.StatusOK:
		c.checkSingle(v, incarnation, kind, id, method+" "+path, sentAt, resp.Header, body)
	}
	return resp.StatusCode
}

// checkGathered checks a sharded answer against the records of the parts named.
func (c *checker) checkGathered(id string, h http.Header, body []byte) {
	var all [][]byte
	named := map[string]bool{}
	seals, missing, err := platformtest.ShardSignatures(h)
	if err != nil {
		c.breach("%s: number of missing shards: %v", id, err)
	}
	for _, seal := range seals {
		t := c.sealed(seal, id)
		if t == nil || named[t.Service] {
			c.breach("%s: signature %q is not one of this request's, or of a shard named before", id, seal)
			return
		}
		named[t.Service] = true
		all = append(all, records(slices.Index(c.site.shards, t.Service))...)
	}
	if len(named)+missing != len(c.site.shards) || float64(len(named)) < minShare*float64(len(c.site.shards)) {
		c.breach("%s: %d shards in, %d missing, of %d", id, len(named), missing, len(c.site.shards))
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := bytes.Join(all[:min(len(all), topRecords)], nil); !bytes.Equal(body, want) {
		c.breach("%s: the records are not the greatest of the shards named", id)
	}
}

// sealed returns the target that signed an answer to a request.
func (c *checker) sealed(seal, id string) *target {
	name, ok := strings.CutSuffix(strings.TrimPrefix(seal, "seal."), "."+id)
	if !ok {
		return nil
	}
	return c.site.byID[name]
}

func (c *checker) checkSingle(v *vm, incarnation int, kind, id, line string, sentAt time.Time, h http.Header, body []byte) {
	t := c.sealed(platformtest.ResponseSignature(h), id)
	if t == nil || string(body) != line+" body of "+id {
		c.breach("%s: answer %.60q with signature %q", id, body, platformtest.ResponseSignature(h))
		return
	}
	if kind == "probe" {
		c.checkVersion(v, incarnation, id, t.Service, sentAt)
	}
}

// checkVersion checks that the version that an answer shows is in force in time
// and never goes back in one incarnation of a process.
func (c *checker) checkVersion(v *vm, incarnation int, id, service string, sentAt time.Time) {
	c.site.probesMu.Lock()
	newest := c.site.version
	for newest > 1 && fmt.Sprint("probe", newest%2) != service {
		newest--
	}
	next, published := c.site.probes[newest+1]
	c.site.probesMu.Unlock()
	if published && sentAt.Sub(next) > apply && v.calm(contact+apply) {
		c.breach("%s: %s serves version %d, %v after the next was published", id, v.name, newest, sentAt.Sub(next))
	}
	if v.incarnation() != incarnation {
		return
	}
	key := fmt.Sprint(v.name, " ", incarnation)
	c.mu.Lock()
	before := c.seen[key]
	c.seen[key] = max(before, newest)
	c.mu.Unlock()
	if newest < before && published && sentAt.Sub(next) > apply+regress {
		c.breach("%s: %s went back from version %d to %d", id, v.name, before, newest)
	}
}

// checkRuns checks the targets' own record of what they ran.
func (c *checker) checkRuns() {
	ran := map[string]int{}
	for _, t := range c.site.targets {
		for _, r := range t.Executions() {
			c.mu.Lock()
			path, ok := c.sent[r.ID]
			status := c.refused[r.ID]
			c.mu.Unlock()
			if !ok || r.URI != path || r.Body != "body of "+r.ID {
				c.breach("%s ran %s %s with body %.40q, which no caller sent", t.ID, r.ID, r.URI, r.Body)
			}
			if !strings.HasPrefix(path, "/once/") {
				continue
			}
			if ran[r.ID]++; ran[r.ID] > 1 {
				c.breach("%s ran more than once", r.ID)
			}
			if status != 0 {
				c.breach("%s ran though its caller was told %d", r.ID, status)
			}
		}
	}
}

// checkDrained checks that targets which are leaving get nothing for long.
func (c *checker) checkDrained(t *target, since time.Time) {
	for _, r := range t.Executions() {
		if late := r.StartedAt.Sub(since); late > drainUse+apply/10 && late < time.Minute {
			c.breach("%s ran %s %v after it said that it leaves", t.ID, r.ID, late)
			return
		}
	}
}
