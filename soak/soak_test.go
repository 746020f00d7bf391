package soak

import (
	"io"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// buildEntry builds the executable of an entry process and returns its path.
func buildEntry(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "gcmux-entry")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/gcmux-entry").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// seeds are the seeds that TestSoak runs: first a sample, then each seed that has
// failed, with a comment that gives the cause.
var seeds = []uint64{1}

func TestSoak(t *testing.T) {
	program := buildEntry(t)
	for _, seed := range seeds {
		report, err := Run(Options{
			Program: program, Seed: seed, FaultDuration: 8 * time.Second, VMs: 4, Shards: 8, Callers: 8, Out: io.Discard,
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range report.Violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		if report.Counts["all 200"] == 0 || report.Counts["once 200"] == 0 {
			t.Errorf("seed %d: no successful responses to some kind of request: %v", seed, report.Counts)
		}
	}
}
