package lab

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// processUsage is the processor time and the peak memory that a process has used so far.
type processUsage struct {
	user, system time.Duration
	peakKB       int // peak resident memory
}

// readUsage reads a process's usage from /proc, whose clock ticks are 10 ms.
func readUsage(pid int) (u processUsage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < 13 || fields[0] == "Z" {
		return u, fmt.Errorf("process %d has exited", pid)
	}
	for i, d := range []*time.Duration{&u.user, &u.system} {
		ticks, err := strconv.Atoi(fields[11+i])
		if err != nil {
			return u, err
		}
		*d = time.Duration(ticks) * 10 * time.Millisecond
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	if _, rest, found := strings.Cut(string(status), "VmHWM:"); found {
		_, _ = fmt.Sscan(rest, &u.peakKB)
	}
	return u, nil
}
