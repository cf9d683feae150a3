package simulation

import (
	"time"
)

// noteDiskLoss records the loss of a disk of the core, so that no further one is lost before the system has caught up.
func (w *world) noteDiskLoss() {
	if w.now-w.diskLostAt >= lossInterval {
		w.disksLost = 0
	}
	w.diskLostAt = w.now
	w.disksLost++
}

// replace removes a control machine permanently and adds an empty one at another address: before the removal if
// planned, else after it.
func (w *world) replace(name string, planned bool) {
	if !w.coreComplete() || w.replaced >= 2 {
		return
	}
	w.replaced++
	old := w.anyControl().program.(*control)
	fresh := w.newControl(w.nextNumber(controlNet), old.zone, w.seedsNow(), false)
	startFresh := func() { fresh.machine.start() }
	if planned {
		startFresh()
		w.afterUnlessCalm(w.drawBetween(500*time.Millisecond, 3*time.Second), func() { w.retire(name, old) })
		return
	}
	old.end(true)
	w.remove(old)
	w.countFault(name)
	w.afterUnlessCalm(time.Second+w.drawUpTo(time.Second), startFresh)
}

// retire stops a control machine gracefully and removes it, as soon as the core tolerates that.
func (w *world) retire(name string, old *control) {
	if old.incarnation == nil || w.toleratedLosses() == 0 {
		w.afterUnlessCalm(200*time.Millisecond, func() { w.retire(name, old) })
		return
	}
	old.stopGracefully(name, 0, false)
	old.removed = true
	w.afterUnlessCalm(50*time.Millisecond, func() { w.remove(old) })
}

// remove removes a control machine permanently.
func (w *world) remove(c *control) {
	w.noteDiskLoss()
	if c.incarnation != nil {
		c.end(true)
	}
	c.removed = true
	seeds := w.seedsNow()
	for _, other := range w.controls() {
		other.settings.Seeds = seeds
	}
	for _, p := range w.processes() {
		p.settings.Seeds = seeds
	}
}

func (w *world) dropMessages(name string) {
	w.countFault(name)
	w.network.lossPercent = 1 + w.random.IntN(10)
	w.afterUnlessCalm(w.drawUpTo(2*time.Second), func() { w.network.lossPercent = 0; w.coreDisturbedAt = w.now })
}

func (w *world) storeMachines() []*machine {
	var machines []*machine
	for _, p := range w.processes() {
		if !p.edge {
			machines = append(machines, p.machine)
		}
	}
	return machines
}

// wipeStore powers off a store and wipes its disk, provided that all partitions have all their replicas and all stores
// run.
func (w *world) wipeStore(name string) {
	p := w.anyProcess(false).program.(*process)
	if p.incarnation == nil || p.frozen || w.placementProblem(-1) != "" || w.now-w.storeWipedAt < lossInterval {
		return
	}
	for _, other := range w.processes() {
		if !other.edge && (other.incarnation == nil || other.frozen || other.diskStalled) {
			return
		}
	}
	w.countFault(name)
	w.storeWipedAt = w.now
	p.end(true)
	p.wipe()
	w.afterUnlessCalm(w.drawUpTo(2*time.Second), p.machine.start)
}

func (w *world) slowStore(string) {
	p := w.anyProcess(false).program.(*process)
	p.diskDelay = w.drawBetween(20*time.Millisecond, 300*time.Millisecond)
	w.afterUnlessCalm(w.faultDuration(), func() { p.diskDelay = 0 })
}

func (w *world) stallStore(string) {
	p := w.anyProcess(false).program.(*process)
	p.diskStalled = true
	w.afterUnlessCalm(w.faultDuration(), func() { p.diskStalled = false })
}

func (w *world) slowDisk(string) {
	c := w.anyControl().program.(*control)
	if !w.canLose(c.machine) {
		return
	}
	c.diskDelay = w.drawBetween(20*time.Millisecond, 300*time.Millisecond)
	c.noteDisturbance()
	w.afterUnlessCalm(w.faultDuration(), func() { c.diskDelay = 0; c.noteDisturbance() })
}

func (w *world) stallDisk(string) {
	c := w.anyControl().program.(*control)
	if !w.canLose(c.machine) {
		return
	}
	c.diskStalled = true
	c.noteDisturbance()
	w.afterUnlessCalm(w.faultDuration(), func() { c.diskStalled = false; c.noteDisturbance() })
}

func (w *world) loseAcks(string) {
	w.ackLossPercent = 70
	w.afterUnlessCalm(w.faultDuration(), func() { w.ackLossPercent = 0 })
}

// afterAckWipe wipes the disks of as many control machines as may fail at once right after an acknowledgement, and
// powers off a third of the others.
func (w *world) afterAckWipe(name string) {
	if !w.coreComplete() {
		return
	}
	w.afterAck(func() {
		if !w.coreComplete() {
			return
		}
		controls := w.controls()
		w.random.Shuffle(len(controls), func(i, j int) { controls[i], controls[j] = controls[j], controls[i] })
		for i, c := range controls {
			if i < w.settings.faultTolerance {
				w.noteDiskLoss()
				c.end(true)
				c.wipe()
				w.countFault(name)
				w.afterUnlessCalm(w.drawUpTo(2*time.Second), c.machine.start)
			} else if w.random.IntN(3) == 0 {
				c.end(true)
				w.afterUnlessCalm(w.drawUpTo(time.Second), c.machine.start)
			}
		}
	})
}
