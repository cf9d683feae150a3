package core

import (
	"slices"
	"time"
)

// injectFault makes one thing go wrong.
func (s *simulation) injectFault() {
	back := time.Duration(s.random.Int64N(int64(1500 * time.Millisecond)))
	member := s.pick()
	switch s.random.IntN(13) {
	case 10, 11: // the disk is full
		member.fillDisk()
		s.after(3*back, member.freeDisk)
	case 12:
		member.stallDisk(3 * back)
	case 0, 1:
		member.kill()
		s.after(back, member.start)
	case 2:
		if !member.running {
			return
		}
		member.powerLoss()
		s.after(back, member.start)
	case 3:
		member.frozen = member.running
		s.after(back*2, member.thaw)
	case 4: // one way
		other := s.pick()
		s.partitioned[[2]string{member.address, other.address}] = true
		s.after(2*back, func() { delete(s.partitioned, [2]string{member.address, other.address}) })
	case 5: // a side is cut off
		side := s.members[:s.random.IntN(len(s.members))]
		s.separate(side, true)
		s.after(2*back, func() { s.separate(side, false) })
	case 6:
		s.lossy, s.loss = true, 0.1*s.random.Float64()
		s.after(back, func() { s.lossy = false })
	case 9: // one alone for long: it comes back with much to learn
		member.kill()
		s.after(3*time.Second, member.start)
	case 7:
		s.restartAll()
	case 8:
		s.partitionHolder(2 * back)
	}
}

// restartAll ends all members, and starts each within a second.
func (s *simulation) restartAll() {
	for _, member := range s.members {
		if s.random.IntN(2) == 0 {
			member.kill()
		} else if member.running {
			member.powerLoss()
		}
		s.after(time.Duration(s.random.Int64N(int64(time.Second))), member.start)
	}
}

// partitionHolder cuts the holder of the lease alone off for a while.
func (s *simulation) partitionHolder(d time.Duration) {
	for _, member := range s.members {
		if member.running && member.node.lease.holder.Valid(member.clock()) {
			s.separate([]*simulated{member}, true)
			s.after(d, func() { s.separate([]*simulated{member}, false) })
		}
	}
}

func (s *simulation) separate(side []*simulated, on bool) {
	for _, a := range side {
		for _, b := range s.members {
			if slices.Contains(side, b) {
				continue
			}
			if on {
				s.partitioned[[2]string{a.address, b.address}], s.partitioned[[2]string{b.address, a.address}] = true, true
			} else {
				delete(s.partitioned, [2]string{a.address, b.address})
				delete(s.partitioned, [2]string{b.address, a.address})
			}
		}
	}
}

// calm ends all faults.
func (s *simulation) calm() {
	s.partitioned, s.lossy = make(map[[2]string]bool), false
	for _, member := range s.members {
		member.freeDisk()
		member.stalled = 0
		member.thaw()
		member.start()
	}
}

// load has clients submit for as long as the simulation runs.
func (s *simulation) load(every time.Duration) {
	s.pick().submit()
	s.after(time.Duration(s.random.Int64N(int64(2*every))), func() { s.load(every) })
}

// disaster is the final fault: right after an answer as many machines as may be lost lose their disks, the others power.
func (s *simulation) disaster() {
	wiped := s.random.Perm(len(s.members))[:s.random.IntN(s.tolerated+1)]
	for i, member := range s.members {
		if slices.Contains(wiped, i) {
			member.wipe()
		} else if s.random.IntN(3) > 0 {
			member.powerLoss()
		} else {
			member.kill()
		}
	}
	for _, member := range s.members {
		s.after(time.Duration(s.random.Int64N(int64(time.Second))), member.start)
	}
}

// play is one whole history: bootstrap, faults, calm, the disaster, calm. It returns what was broken.
func play(seed uint64, members, tolerated int, m mutant) string {
	s := newSimulation(seed, members, tolerated, m)
	s.run(1500 * time.Millisecond)
	s.load(60 * time.Millisecond)
	for range 2 + s.random.IntN(6) {
		s.run(s.now + time.Duration(s.random.Int64N(int64(1200*time.Millisecond))))
		if s.broken != "" {
			return s.broken
		}
		s.injectFault()
	}
	s.run(s.now + 2*time.Second)
	s.calm()
	s.run(s.now + 6*time.Second)
	s.expectService("after calm", 500*time.Millisecond)
	s.disasters(1 + s.random.IntN(2))
	if s.broken == "" {
		s.checkHistory()
	}
	return s.broken
}

// disasters plays final faults, one after the other.
func (s *simulation) disasters(count int) {
	for range count {
		s.awaitAnswer()
		s.disaster()
		s.run(s.now + time.Second + restartBound)
		s.expectService("after a disaster", 500*time.Millisecond)
		s.run(s.now + catchupBound - restartBound)
	}
}

// playDisasters is a history of nothing but final faults.
func playDisasters(seed uint64, members, tolerated int, m mutant) string {
	s := newSimulation(seed, members, tolerated, m)
	s.run(1500 * time.Millisecond)
	s.load(60 * time.Millisecond)
	s.disasters(3)
	if s.broken == "" {
		s.checkHistory()
	}
	return s.broken
}

// Bounds that the core must keep.
const (
	restartBound = 4 * time.Second // from the start of the last process of a core to service
	catchupBound = 5 * time.Second // from there no machine counts as lost
)

// awaitAnswer plays until just after the next answer, so that a fault hits what was acknowledged last.
func (s *simulation) awaitAnswer() {
	answered, until := s.answered, s.now+time.Second
	for len(s.queue) > 0 && s.answered == answered && s.now < until && s.broken == "" {
		s.run(s.queue[0].at)
	}
}
