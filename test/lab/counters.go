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

// perfCounters counts the instructions and cycles of a process with the processor's hardware counters, where the machine has
// them. Unlike times, these counts do not depend on the other processes of the machine. See perf_event_open(2).
type perfCounters struct {
	fds []int // for each thread one of instructions, followed by one of cycles
}

// startCounters starts counting for the threads of a process and for the threads that they start.
func startCounters(pid int) (*perfCounters, error) {
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return nil, err
	}
	c := &perfCounters{}
	for _, task := range tasks {
		tid, err := strconv.Atoi(task.Name())
		if err != nil {
			continue
		}
		for _, event := range []uint64{unix.PERF_COUNT_HW_INSTRUCTIONS, unix.PERF_COUNT_HW_CPU_CYCLES} {
			attr := unix.PerfEventAttr{Type: unix.PERF_TYPE_HARDWARE, Config: event, Bits: unix.PerfBitInherit}
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

// read returns the counts since startCounters.
func (c *perfCounters) read() (instructions, cycles float64) {
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

func (c *perfCounters) close() {
	for _, fd := range c.fds {
		_ = unix.Close(fd)
	}
}

// stealTicks returns the total ticks of the machine's processors and the steal ticks among them, which the hypervisor
// gave to other guests. Both are 0 if /proc/stat can't be read.
func stealTicks() (total, steal float64) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0
	}
	line, _, _ := bytes.Cut(text, []byte("\n"))
	for i, word := range strings.Fields(string(line)) {
		if v, err := strconv.ParseFloat(word, 64); err == nil && i <= 8 {
			if total += v; i == 8 {
				steal = v
			}
		}
	}
	return total, steal
}
