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

	"github.com/goldcrestmux/goldcrestmux/forward"
	"github.com/goldcrestmux/goldcrestmux/platform/platformtest"
)

// Time bounds of the guarantees.
const (
	settleTime       = 4 * time.Second        // after the last fault, before time bounds apply
	drainPeriod      = 3 * time.Second        // in which a draining target may still get requests
	applyTimeout     = 3 * time.Second        // in which a published version must be in force
	regressTolerance = 500 * time.Millisecond // beyond applyTimeout, in which an older version may be seen again
)

// callerTimeout is how long callers wait for a response.
const callerTimeout = 1500 * time.Millisecond

// checker records the responses that callers get and checks them. Its methods are
// safe for concurrent use.
type checker struct {
	testbed *testbed

	mu         sync.Mutex
	violations []string
	counts     map[string]int
	sent       map[string]string    // path by request ID
	sentAt     map[string]time.Time // by request ID
	sentTo     map[string]string    // name of the VM by request ID
	rejected   map[string]int       // status by ID of requests that must not run
	newestSeen map[string]int       // newest version by VM and incarnation

	crashLog crashLog
}

func newChecker(b *testbed) *checker {
	return &checker{
		testbed: b, counts: map[string]int{}, sent: map[string]string{}, sentAt: map[string]time.Time{}, sentTo: map[string]string{}, rejected: map[string]int{}, newestSeen: map[string]int{},
	}
}

func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *checker) count(result string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[result]++
}

// send sends one request and checks the response. It returns the status, or 0 if
// there was no complete response.
func (c *checker) send(client *http.Client, v *vm, kind, id string) int {
	method, path := http.MethodGet, "/"+kind+"/"+id
	switch kind {
	case "once":
		method = http.MethodPost
	case "popular":
		kind, path = "all", popularPath
	}
	req, err := http.NewRequest(method, "http://"+v.callerAddress+path, strings.NewReader(bodyOf(path, id)))
	if err != nil {
		c.addViolation("request %s: %v", id, err)
		return 0
	}
	req.Host = platformtest.Host
	platformtest.SetRequestHeaders(req.Header, id, callerTimeout)
	c.mu.Lock()
	c.sent[id], c.sentAt[id], c.sentTo[id] = path, time.Now(), v.name
	c.mu.Unlock()
	sentAt, incarnation := time.Now(), v.incarnation()
	resp, err := client.Do(req)
	if err != nil {
		c.count(kind + " no response")
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.count(kind + " truncated")
		return 0
	}
	c.count(kind + " " + strconv.Itoa(resp.StatusCode))
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		c.mu.Lock()
		c.rejected[id] = resp.StatusCode
		c.mu.Unlock()
		if bytes.Contains(body, []byte(forward.ReasonQuarantined)) {
			c.addViolation("%s: %s was refused as if it crashed targets", id, path)
		}
	case resp.StatusCode >= 300 && resp.StatusCode < 500:
		c.addViolation("%s: a valid request got status %d", id, resp.StatusCode)
	case resp.StatusCode == http.StatusOK && kind == "all":
		c.checkGathered(id, resp.Header, body)
	case resp.StatusCode == http.StatusOK:
		c.checkSingle(v, incarnation, kind, id, method+" "+path, sentAt, resp.Header, body)
	}
	return resp.StatusCode
}

// bodyOf returns the body of a request. That of the popular one is always the same.
func bodyOf(path, id string) string {
	if path == popularPath {
		return "popular"
	}
	return "body of " + id
}

// checkGathered checks a gathered response against the records of the shards whose
// signatures it has.
func (c *checker) checkGathered(id string, h http.Header, body []byte) {
	var allRecords [][]byte
	included := map[string]bool{}
	signatures, missing, err := platformtest.ShardSignatures(h)
	if err != nil {
		c.addViolation("%s: number of missing shards: %v", id, err)
	}
	for _, signature := range signatures {
		t := c.signer(signature, id)
		if t == nil || included[t.Service] {
			c.addViolation("%s: signature %q does not match the request, or is the second one of its shard", id, signature)
			return
		}
		included[t.Service] = true
		allRecords = append(allRecords, records(slices.Index(c.testbed.shards, t.Service))...)
	}
	if len(included)+missing != len(c.testbed.shards) || float64(len(included)) < minShardFraction*float64(len(c.testbed.shards)) {
		c.addViolation("%s: %d shards included, %d missing, of %d", id, len(included), missing, len(c.testbed.shards))
	}
	slices.SortFunc(allRecords, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := bytes.Join(allRecords[:min(len(allRecords), topK)], nil); !bytes.Equal(body, want) {
		c.addViolation("%s: the records are not the greatest ones of the included shards", id)
	}
}

// signer returns the target that signed a response to the request, or nil if the
// signature is not that of a known target for this request.
func (c *checker) signer(signature, id string) *target {
	name, ok := strings.CutSuffix(strings.TrimPrefix(signature, "seal."), "."+id)
	if !ok {
		return nil
	}
	return c.testbed.byID[name]
}

// checkSingle checks the response of a single target: its signature and body, and
// for probes the configuration version.
func (c *checker) checkSingle(v *vm, incarnation int, kind, id, requestLine string, sentAt time.Time, h http.Header, body []byte) {
	t := c.signer(platformtest.ResponseSignature(h), id)
	if t == nil || string(body) != requestLine+" body of "+id {
		c.addViolation("%s: response %.60q with signature %q", id, body, platformtest.ResponseSignature(h))
		return
	}
	if kind == "probe" {
		c.checkVersion(v, incarnation, id, t.Service, sentAt)
	}
}

// checkVersion checks that the configuration version that a response was served
// with took effect in time, and that it never goes back in one incarnation of a
// process. Consecutive versions route probes to different services, so that the
// responding service identifies the version.
func (c *checker) checkVersion(v *vm, incarnation int, id, service string, sentAt time.Time) {
	c.testbed.versionMu.Lock()
	newest := c.testbed.version
	for newest > 1 && fmt.Sprint("probe", newest%2) != service {
		newest--
	}
	next, published := c.testbed.publishedAt[newest+1]
	c.testbed.versionMu.Unlock()
	if published && sentAt.Sub(next) > applyTimeout && v.faultFreeFor(settleTime+applyTimeout) {
		c.addViolation("%s: %s serves version %d, %v after the next was published", id, v.name, newest, sentAt.Sub(next))
	}
	if v.incarnation() != incarnation {
		return
	}
	key := fmt.Sprint(v.name, " ", incarnation)
	c.mu.Lock()
	previous := c.newestSeen[key]
	c.newestSeen[key] = max(previous, newest)
	c.mu.Unlock()
	if newest < previous && published && sentAt.Sub(next) > applyTimeout+regressTolerance {
		c.addViolation("%s: %s went back from version %d to %d", id, v.name, previous, newest)
	}
}

// checkExecutions checks the requests that targets recorded as executed: each was
// sent by a caller, and a non-idempotent one was executed at most once, and not at
// all if it was rejected.
func (c *checker) checkExecutions() {
	executions := map[string]int{}
	for _, t := range c.testbed.targets {
		for _, r := range t.Executions() {
			c.mu.Lock()
			path, ok := c.sent[r.ID]
			status := c.rejected[r.ID]
			c.mu.Unlock()
			if !ok || r.URI != path || r.Body != bodyOf(path, r.ID) {
				c.addViolation("%s executed %s %s with body %.40q, which no caller sent", t.ID, r.ID, r.URI, r.Body)
			}
			if !strings.HasPrefix(path, "/once/") {
				continue
			}
			if executions[r.ID]++; executions[r.ID] > 1 {
				c.addViolation("%s was executed more than once", r.ID)
			}
			if status != 0 {
				c.addViolation("%s was executed although its caller got status %d", r.ID, status)
			}
		}
	}
}

// checkDrained checks that a target gets no requests once it has been draining
// since the given time for longer than the bound.
func (c *checker) checkDrained(t *target, since time.Time) {
	for _, r := range t.Executions() {
		if late := r.StartedAt.Sub(since); late > drainPeriod+applyTimeout/10 && late < time.Minute {
			c.addViolation("%s executed %s %v after it announced that it is draining", t.ID, r.ID, late)
			return
		}
	}
}
