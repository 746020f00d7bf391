package daemon

import (
	"os"
	"runtime/debug"
)

// collectorPercent is the growth of the heap, in percent of what was live,
// after which garbage is collected. The live heap is a few megabytes while each
// request leaves kilobytes behind, so that the runtime's own 100 means tens of
// collections a second.
const collectorPercent = 400

// relaxCollector lets garbage collection run less often, unless the variable
// GOGC of the environment says how often.
func relaxCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
}
