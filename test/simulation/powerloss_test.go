package simulation

import "time"

// wipeAndPowerOff has, right after an acknowledgement, as many machines as may be lost lose their disks, control machines and stores alike, and
// all others lose power at the same moment, those too that don't count for the quorum. Partitions may be joining or moving, and the core's chain
// may be changing: what was acknowledged lies on enough disks in each of these states.
func (w *world) wipeAndPowerOff(name string) {
	w.afterAck(func() {
		if !w.complete() || !w.storesRun() || w.now-w.wipedAt < lossEvery {
			return
		}
		w.took(name)
		wiped := w.disksToLose()
		for _, m := range w.machines {
			if m.removed {
				continue
			}
			m.end(true)
			if wiped[m] {
				w.wipeDisk(m)
			}
			w.later(w.upTo(time.Second), m.start)
		}
	})
}

// storesRun says whether no store counts as lost.
func (w *world) storesRun() bool {
	for _, m := range w.storeMachines() {
		if m.incarnation == nil || m.frozen || m.program.(*process).stalled {
			return false
		}
	}
	return true
}

// disksToLose draws as many machines with a disk as may be lost at once.
func (w *world) disksToLose() map[*machine]bool {
	withDisk := append(w.coreMachines(), w.storeMachines()...)
	w.random.Shuffle(len(withDisk), func(i, j int) { withDisk[i], withDisk[j] = withDisk[j], withDisk[i] })
	chosen := make(map[*machine]bool)
	for _, m := range withDisk[:w.settings.faultTolerance] {
		chosen[m] = true
	}
	return chosen
}

// wipeDisk has a machine that does not run come back with an empty disk.
func (w *world) wipeDisk(m *machine) {
	switch program := m.program.(type) {
	case *control:
		w.losing()
		program.wipe()
	case *process:
		w.wipedAt = w.now
		program.wipe()
	}
}
