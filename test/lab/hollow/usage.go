package hollow

import (
	"bufio"
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Usage is what a process has used since it started.
type Usage struct {
	CPU      time.Duration // of all threads
	Written  int64         // bytes given to write calls: sockets above all
	Writes   int64         // write calls
	Switches int64         // times that a thread waited for something
	Heap     int64         // bytes in use by objects and stacks now
	Resident int64         // bytes of memory now
	Peak     int64         // bytes of memory at most
}

// Since is what was used after an earlier Usage; memory is as of now.
func (u Usage) Since(earlier Usage) Usage {
	u.CPU -= earlier.CPU
	u.Written -= earlier.Written
	u.Writes -= earlier.Writes
	u.Switches -= earlier.Switches
	return u
}

// ReadUsage reads what this process has used.
func ReadUsage() (Usage, error) {
	var times syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &times); err != nil {
		return Usage{}, fmt.Errorf("hollow: usage: %w", err)
	}
	calls, err := readFields("/proc/self/io")
	if err != nil {
		return Usage{}, err
	}
	memory, err := readFields("/proc/self/status")
	if err != nil {
		return Usage{}, err
	}
	var heap runtime.MemStats
	runtime.ReadMemStats(&heap)
	const kb = 1 << 10
	return Usage{
		CPU:     time.Duration(times.Utime.Nano() + times.Stime.Nano()),
		Written: calls["wchar"], Writes: calls["syscw"], Switches: times.Nvcsw,
		Heap:     int64(heap.HeapAlloc + heap.StackInuse),
		Resident: memory["VmRSS"] * kb, Peak: memory["VmHWM"] * kb,
	}, nil
}

// readFields reads the lines of a file that are a name, a colon and a whole number.
func readFields(path string) (map[string]int64, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("hollow: usage: %w", err)
	}
	defer func() { _ = file.Close() }()
	fields := make(map[string]int64)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, rest, _ := strings.Cut(lines.Text(), ":")
		var value int64
		if _, err := fmt.Sscan(rest, &value); err == nil {
			fields[name] = value
		}
	}
	return fields, lines.Err()
}

const loadFile = "/proc/loadavg"

// Load is the machine's load over the last minute, as text; empty if it can't be read.
func Load() string {
	content, err := os.ReadFile(loadFile)
	if err != nil {
		return ""
	}
	minute, _, _ := strings.Cut(string(content), " ")
	return minute
}
