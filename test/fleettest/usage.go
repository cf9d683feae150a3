package fleettest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is the resource usage of all members' processes.
type Usage struct {
	CPU       time.Duration
	RSS       int64 // current resident memory in bytes
	SentBytes int64 // bytes of messages between members, as the members count them
}

// Usage measures the current usage of all members.
func (b *Bench) Usage() (u Usage) {
	for _, p := range b.members {
		pid := p.cmd.Process.Pid
		if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
			_, rest, _ := strings.Cut(string(text), ") ")
			if args := strings.Fields(rest); len(args) > 12 {
				for _, word := range args[11:13] { // utime, stime, in hundredths of a second
					ticks, _ := strconv.ParseInt(word, 10, 64)
					u.CPU += time.Duration(ticks) * 10 * time.Millisecond
				}
			}
		}
		if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid)); err == nil {
			if args := strings.Fields(string(text)); len(args) > 1 {
				pages, _ := strconv.ParseInt(args[1], 10, 64)
				u.RSS += pages * int64(os.Getpagesize())
			}
		}
		if s, err := b.Status(p.name); err == nil && !b.options.WithoutFleet {
			for _, peer := range s.Peers {
				u.SentBytes += peer.Bytes
			}
		}
	}
	return u
}
