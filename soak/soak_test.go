package soak

import (
	"io"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// buildEntry builds the program that the soak runs.
func buildEntry(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "gcmux-entry")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/gcmux-entry").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// seeds are played in each run of the tests: the first as a sample, others
// because they failed once, with their cause.
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
		for _, b := range report.Violations {
			t.Errorf("seed %d: %s", seed, b)
		}
		if report.Counts["all 200"] == 0 || report.Counts["once 200"] == 0 {
			t.Errorf("seed %d: too few answers: %v", seed, report.Counts)
		}
	}
}
