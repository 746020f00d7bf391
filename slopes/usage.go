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

// ticksPerSecond is the unit of processor times in /proc, fixed by Linux.
const ticksPerSecond = 100

// ownTime returns the processor time that this process has used.
func ownTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// processTime returns the processor time that a process has used.
func processTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, errors.Trace(err)
	}
	// The name in parentheses may hold spaces; user and system time are the
	// 12th and 13th fields after it.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, errors.Errorf("process %d: unknown format of stat", pid)
	}
	ticks := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, errors.Trace(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// memoryInUse returns the bytes of the heap and of stacks that are in use
// after garbage is collected.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
