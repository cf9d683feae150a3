package core

import (
	"slices"
	"time"
)

// injectFault injects a random fault.
func (s *simulation) injectFault() {
	back := time.Duration(s.random.Int64N(int64(1500 * time.Millisecond)))
	member := s.randomMember()
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
	case 4: // in one direction
		other := s.randomMember()
		s.partitioned[[2]string{member.address, other.address}] = true
		s.after(2*back, func() { delete(s.partitioned, [2]string{member.address, other.address}) })
	case 5: // partition of the members into two sides
		side := s.members[:s.random.IntN(len(s.members))]
		s.setSidePartition(side, true)
		s.after(2*back, func() { s.setSidePartition(side, false) })
	case 6:
		s.lossy, s.loss = true, 0.1*s.random.Float64()
		s.after(back, func() { s.lossy = false })
	case 9: // one member for a long time: it misses many commands
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

// partitionHolder partitions the holder of the lease from all other members for a while.
func (s *simulation) partitionHolder(d time.Duration) {
	for _, member := range s.members {
		if member.running && member.node.lease.holder.Valid(member.clock()) {
			s.setSidePartition([]*simProcess{member}, true)
			s.after(d, func() { s.setSidePartition([]*simProcess{member}, false) })
		}
	}
}

func (s *simulation) setSidePartition(side []*simProcess, on bool) {
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

// endFaults ends all faults.
func (s *simulation) endFaults() {
	s.partitioned, s.lossy = make(map[[2]string]bool), false
	for _, member := range s.members {
		member.freeDisk()
		member.stalledUntil = 0
		member.thaw()
		member.start()
	}
}

// submitLoad submits commands at random members for as long as the simulation runs.
func (s *simulation) submitLoad(every time.Duration) {
	s.randomMember().submit()
	s.after(time.Duration(s.random.Int64N(int64(2*every))), func() { s.submitLoad(every) })
}

// disaster is the final fault: at most the tolerated number of machines lose their disks, the others are killed or lose
// power, and all restart.
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

// runHistory runs a complete history: bootstrap, faults, a time without faults, disasters. It returns the violation.
func runHistory(seed uint64, members, tolerated int, m mutant) string {
	s := newSimulation(seed, members, tolerated, m)
	s.run(1500 * time.Millisecond)
	s.submitLoad(60 * time.Millisecond)
	for range 2 + s.random.IntN(6) {
		s.run(s.now + time.Duration(s.random.Int64N(int64(1200*time.Millisecond))))
		if s.violation != "" {
			return s.violation
		}
		s.injectFault()
	}
	s.run(s.now + 2*time.Second)
	s.endFaults()
	s.run(s.now + 6*time.Second)
	s.expectService("after the faults", 500*time.Millisecond)
	s.disasters(1 + s.random.IntN(2))
	if s.violation == "" {
		s.checkHistory()
	}
	return s.violation
}

// disasters runs several disasters one after the other, each right after an answer.
func (s *simulation) disasters(count int) {
	for range count {
		s.awaitAnswer()
		s.disaster()
		s.run(s.now + time.Second + restartBound)
		s.expectService("after a disaster", 500*time.Millisecond)
		s.run(s.now + catchupBound - restartBound)
	}
}

// runDisasterHistory runs a history with no faults but disasters. It returns the violation.
func runDisasterHistory(seed uint64, members, tolerated int, m mutant) string {
	s := newSimulation(seed, members, tolerated, m)
	s.run(1500 * time.Millisecond)
	s.submitLoad(60 * time.Millisecond)
	s.disasters(3)
	if s.violation == "" {
		s.checkHistory()
	}
	return s.violation
}

// Bounds that the core must meet.
const (
	restartBound = 4 * time.Second // from the start of the last process of a core until it serves
	catchupBound = 5 * time.Second // after which no machine counts as lost
)

// awaitAnswer runs the simulation until just after the next answer, so that a fault meets the newest acknowledgement.
func (s *simulation) awaitAnswer() {
	answered, until := s.answered, s.now+time.Second
	for len(s.queue) > 0 && s.answered == answered && s.now < until && s.violation == "" {
		s.run(s.queue[0].at)
	}
}
