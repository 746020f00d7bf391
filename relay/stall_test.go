package relay

import (
	"testing"
	"time"

	"github.com/goldcrestmux/goldcrestmux/permit"
)

func TestConnHealth(t *testing.T) {
	now := time.Unix(1000, 0)
	var p connHealth
	if got := p.stallAfter(); got != minStall {
		t.Errorf("stalled after %v without any answer, want %v", got, minStall)
	}
	for range 100 {
		p.observe(20 * time.Millisecond)
	}
	if got := p.stallAfter(); got < 190*time.Millisecond || got > 210*time.Millisecond {
		t.Errorf("stalled after %v with a mean of 20ms, want ten times that", got)
	}
	for range 200 {
		p.observe(time.Second)
	}
	if got := p.stallAfter(); got != maxStall {
		t.Errorf("stalled after %v, want at most %v", got, maxStall)
	}
	if !p.mayRetire(now) {
		t.Error("connections may not be given up for the first time")
	}
	p.retire(now)
	if p.mayRetire(now.Add(retireInterval - 1)) {
		t.Error("connections were given up twice within the interval")
	}
	if !p.isRetired(now.Add(-time.Millisecond)) || p.isRetired(now.Add(time.Millisecond)) {
		t.Error("a request is on a given-up connection if and only if it was sent before")
	}
}

func TestNoRequestOutlivesTheQuietPeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &Relay{opts: Options{Permit: permit.Options{QuietPeriod: time.Second}}}
	if got := r.targetDeadline(now, now.Add(time.Minute)); !got.Equal(now.Add(time.Second)) {
		t.Errorf("deadline %v at the target, want the quiet period", got.Sub(now))
	}
	if got := r.targetDeadline(now, now.Add(time.Millisecond)); !got.Equal(now.Add(time.Millisecond)) {
		t.Errorf("deadline %v at the target, want the query's", got.Sub(now))
	}
}
