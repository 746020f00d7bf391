package daemon

import (
	"os"
	"runtime/debug"
)

// gcPercent is the growth of the heap, in percent of the live heap, that starts a
// garbage collection. The live heap is a few megabytes and each request leaves
// kilobytes of garbage, so the runtime's default of 100 would cause tens of
// collections per second.
const gcPercent = 400

// setGCPercent sets the garbage collection target to gcPercent, unless the
// environment variable GOGC sets it.
func setGCPercent() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
