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
	soak = flag.Bool("soak", false, "run the long scenarios too")
	bin  = flag.String("bin", "", "directory of built programs, such as those of an older commit; they are built if it is empty")
)

func TestMain(m *testing.M) {
	flag.Parse()
	if *bin != "" {
		os.Exit(m.Run())
	}
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs once for all scripts.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "gcmux-scenario-*")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	*bin = dir
	build := exec.Command("go", "build", "-o", dir+"/", "github.com/goldcrestmux/goldcrestmux/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the programs:", err)
		return 1
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, scenario.Params("testdata", scenario.Options{Bin: *bin, Seed: *seed}))
}

func TestSoak(t *testing.T) {
	if !*soak {
		t.Skip("the long scenarios run with -soak")
	}
	testscript.Run(t, scenario.Params("testdata/soak", scenario.Options{Bin: *bin, Seed: *seed}))
}
