package simulation

import (
	"time"
)

// losing notes that a disk of the core is lost, so that no other one is before the system has caught up.
func (w *world) losing() {
	if w.now-w.diskLostAt >= lossEvery {
		w.disksLost = 0
	}
	w.diskLostAt = w.now
	w.disksLost++
}

// replace has a control machine go for good, and an empty one come at another address.
func (w *world) replace(name string, planned bool) {
	if !w.complete() || w.replaced >= 2 {
		return
	}
	w.replaced++
	old := w.anyControl().program.(*control)
	fresh := w.newControl(w.number(controlNet), old.zone, w.seedsNow(), false)
	come := func() { fresh.machine.start() }
	if planned {
		come()
		w.later(w.between(500*time.Millisecond, 3*time.Second), func() { w.retire(name, old) })
		return
	}
	old.end(true)
	w.remove(old)
	w.took(name)
	w.later(time.Second+w.upTo(time.Second), come)
}

// retire stops a control machine for good, once another may be lost.
func (w *world) retire(name string, old *control) {
	if old.incarnation == nil || w.spare() == 0 {
		w.later(200*time.Millisecond, func() { w.retire(name, old) })
		return
	}
	old.stop(name, 0, false)
	old.removed = true
	w.later(50*time.Millisecond, func() { w.remove(old) })
}

// remove takes a control machine away for good.
func (w *world) remove(c *control) {
	w.losing()
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

func (w *world) lose(name string) {
	w.took(name)
	w.network.lossy = 1 + w.random.IntN(10)
	w.later(w.upTo(2*time.Second), func() { w.network.lossy = 0; w.coreHarmed = w.now })
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

// wipeStore has a store lose its disk, if all partitions are complete without it.
func (w *world) wipeStore(name string) {
	p := w.anyProcess(false).program.(*process)
	if p.incarnation == nil || p.frozen || w.unplaced(-1) != "" || w.now-w.wipedAt < lossEvery {
		return
	}
	for _, other := range w.processes() {
		if !other.edge && (other.incarnation == nil || other.frozen || other.stalled) {
			return
		}
	}
	w.took(name)
	w.wipedAt = w.now
	p.end(true)
	p.wipe()
	w.later(w.upTo(2*time.Second), p.machine.start)
}

func (w *world) slowStore(string) {
	p := w.anyProcess(false).program.(*process)
	p.slowBy = w.between(20*time.Millisecond, 300*time.Millisecond)
	w.later(w.span(), func() { p.slowBy = 0 })
}

func (w *world) stallStore(string) {
	p := w.anyProcess(false).program.(*process)
	p.stalled = true
	w.later(w.span(), func() { p.stalled = false })
}

func (w *world) slowDisk(string) {
	c := w.anyControl().program.(*control)
	if !w.mayLose(c.machine) {
		return
	}
	c.slowBy = w.between(20*time.Millisecond, 300*time.Millisecond)
	c.harm()
	w.later(w.span(), func() { c.slowBy = 0; c.harm() })
}

func (w *world) stallDisk(string) {
	c := w.anyControl().program.(*control)
	if !w.mayLose(c.machine) {
		return
	}
	c.stalled = true
	c.harm()
	w.later(w.span(), func() { c.stalled = false; c.harm() })
}

func (w *world) loseAcks(string) {
	w.ackLoss = 70
	w.later(w.span(), func() { w.ackLoss = 0 })
}

// afterAckWipe has as many machines as may be lost lose their disks, and others of the core power.
func (w *world) afterAckWipe(name string) {
	if !w.complete() {
		return
	}
	w.afterAck(func() {
		if !w.complete() {
			return
		}
		controls := w.controls()
		w.random.Shuffle(len(controls), func(i, j int) { controls[i], controls[j] = controls[j], controls[i] })
		for i, c := range controls {
			if i < w.settings.faultTolerance {
				w.losing()
				c.end(true)
				c.wipe()
				w.took(name)
				w.later(w.upTo(2*time.Second), c.machine.start)
			} else if w.random.IntN(3) == 0 {
				c.end(true)
				w.later(w.upTo(time.Second), c.machine.start)
			}
		}
	})
}
