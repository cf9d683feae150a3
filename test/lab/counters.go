package lab

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
	"strconv"
	"strings"
	"unsafe"

	"golang.org/x/sys/unix"
)

// counters count the instructions and cycles of a process by the processor's own counters, where the machine has them:
// unlike times they do not depend on what else runs there. See perf_event_open(2).
type counters struct {
	fds []int // instructions and cycles by turns, a pair for each thread
}

// count begins to count for the threads that a process has, and those that they start.
func count(pid int) (*counters, error) {
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return nil, err
	}
	c := &counters{}
	for _, task := range tasks {
		tid, err := strconv.Atoi(task.Name())
		if err != nil {
			continue
		}
		for _, what := range []uint64{unix.PERF_COUNT_HW_INSTRUCTIONS, unix.PERF_COUNT_HW_CPU_CYCLES} {
			attr := unix.PerfEventAttr{Type: unix.PERF_TYPE_HARDWARE, Config: what, Bits: unix.PerfBitInherit}
			attr.Size = uint32(unsafe.Sizeof(attr))
			fd, err := unix.PerfEventOpen(&attr, tid, -1, -1, unix.PERF_FLAG_FD_CLOEXEC)
			if err != nil {
				c.close()
				return nil, fmt.Errorf("perf_event_open: %w", err)
			}
			c.fds = append(c.fds, fd)
		}
	}
	return c, nil
}

// read returns what was counted since count.
func (c *counters) read() (instructions, cycles float64) {
	for i, fd := range c.fds {
		var b [8]byte
		if n, err := unix.Read(fd, b[:]); err != nil || n != len(b) {
			continue
		}
		if v := float64(binary.NativeEndian.Uint64(b[:])); i%2 == 0 {
			instructions += v
		} else {
			cycles += v
		}
	}
	return instructions, cycles
}

func (c *counters) close() {
	for _, fd := range c.fds {
		_ = unix.Close(fd)
	}
}

// stolen returns the ticks that the machine's processors had in all, and those of them that its host gave to others.
func stolen() (all, steal float64) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0
	}
	line, _, _ := bytes.Cut(text, []byte("\n"))
	for i, word := range strings.Fields(string(line)) {
		if v, err := strconv.ParseFloat(word, 64); err == nil && i <= 8 {
			if all += v; i == 8 {
				steal = v
			}
		}
	}
	return all, steal
}
