package simulation

import "time"

// wipeAndPowerOff powers off all machines right after an acknowledgement, those without a vote included, and wipes the
// disks of as many control machines and stores as may fail at once. Partitions may be joining or moving and the core's
// chain may be changing at that time: acknowledged data must be on enough disks in each of these states.
func (w *world) wipeAndPowerOff(name string) {
	w.afterAck(func() {
		if !w.coreComplete() || !w.storesRun() || w.now-w.storeWipedAt < lossInterval {
			return
		}
		w.countFault(name)
		wiped := w.disksToLose()
		for _, m := range w.machines {
			if m.removed {
				continue
			}
			m.end(true)
			if wiped[m] {
				w.wipeDisk(m)
			}
			w.afterUnlessCalm(w.drawUpTo(time.Second), m.start)
		}
	})
}

// storesRun reports whether all stores run, and none is frozen or has a stalled disk.
func (w *world) storesRun() bool {
	for _, m := range w.storeMachines() {
		if m.incarnation == nil || m.frozen || m.program.(*process).diskStalled {
			return false
		}
	}
	return true
}

// disksToLose draws as many machines with a disk as may fail at once.
func (w *world) disksToLose() map[*machine]bool {
	withDisk := append(w.coreMachines(), w.storeMachines()...)
	w.random.Shuffle(len(withDisk), func(i, j int) { withDisk[i], withDisk[j] = withDisk[j], withDisk[i] })
	chosen := make(map[*machine]bool)
	for _, m := range withDisk[:w.settings.faultTolerance] {
		chosen[m] = true
	}
	return chosen
}

// wipeDisk replaces the disk of a stopped machine with an empty one.
func (w *world) wipeDisk(m *machine) {
	switch program := m.program.(type) {
	case *control:
		w.noteDiskLoss()
		program.wipe()
	case *process:
		w.storeWipedAt = w.now
		program.wipe()
	}
}
