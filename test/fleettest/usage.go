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
	CPU  time.Duration
	RSS  int64 // bytes, now
	Told int64 // bytes of words, as the members count them
}

// Usage measures.
func (b *Bench) Usage() (u Usage) {
	for _, p := range b.all {
		pid := p.cmd.Process.Pid
		if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
			_, rest, _ := strings.Cut(string(text), ") ")
			if words := strings.Fields(rest); len(words) > 12 {
				for _, word := range words[11:13] { // utime, stime, in hundredths of a second
					ticks, _ := strconv.ParseInt(word, 10, 64)
					u.CPU += time.Duration(ticks) * 10 * time.Millisecond
				}
			}
		}
		if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid)); err == nil {
			if words := strings.Fields(string(text)); len(words) > 1 {
				pages, _ := strconv.ParseInt(words[1], 10, 64)
				u.RSS += pages * int64(os.Getpagesize())
			}
		}
		if s, err := b.Status(p.name); err == nil && !b.o.Off {
			for _, peer := range s.Peers {
				u.Told += peer.Bytes
			}
		}
	}
	return u
}
