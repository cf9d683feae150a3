package fleettest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is what all members' processes have used so far.
type Usage struct {
	CPU       time.Duration
	RSS       int64 // bytes, now
	SentBytes int64 // bytes of words, as the members count them
}

// Usage measures.
func (b *Bench) Usage() (u Usage) {
	for _, p := range b.all {
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
		if s, err := b.Status(p.name); err == nil && !b.o.Off {
			for _, peer := range s.Peers {
				u.SentBytes += peer.Bytes
			}
		}
	}
	return u
}
