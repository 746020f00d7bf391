package scenario_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/goldcrestmux/goldcrestmux/scenario"
)

var (
	seed = flag.Uint64("seed", 1, "seed of the scenarios")
	bin  string
)

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs once for all scripts.
func buildAndRun(m *testing.M) int {
	var err error
	if bin, err = os.MkdirTemp("", "gcmux-scenario-*"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(bin)
	build := exec.Command("go", "build", "-o", bin+"/", "github.com/goldcrestmux/goldcrestmux/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the programs:", err)
		return 1
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, scenario.Params("testdata", scenario.Options{Bin: bin, Seed: *seed}))
}
