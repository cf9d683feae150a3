package lab

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// used is what a process has used of the machine so far.
type used struct {
	user, system time.Duration
	peakKB       int
}

// usage reads it from /proc, whose clock ticks are 10 ms.
func usage(pid int) (u used, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < 13 || fields[0] == "Z" {
		return u, fmt.Errorf("process %d has ended", pid)
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
