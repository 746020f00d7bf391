package main

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// clockTicksPerSecond is the unit of CPU times in /proc, which Linux fixes for
// user space.
const clockTicksPerSecond = 100

// selfCPUTime returns the CPU time that this process has used.
func selfCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// processCPUTime returns the CPU time that the process pid has used.
func processCPUTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, errors.Trace(err)
	}
	// The command name, in parentheses, may contain spaces. User and system time
	// are the 12th and 13th fields after it.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, errors.Errorf("process %d: fewer than 13 fields after the command name in /proc stat", pid)
	}
	ticks := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, errors.Trace(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond, nil
}

// memoryInUse returns the bytes of heap and stacks that are in use after a
// garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
