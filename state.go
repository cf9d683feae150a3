package ravendale

// What a Dispatcher tells of itself. Nothing in this file decides or changes anything.

// Knows says whether a worker is listed, or out by hand.
func (d *Dispatcher) Knows(name string) bool {
	_, out := d.out[name]
	return out || d.byName[name] != nil
}

// Workers counts those listed, and those of them that are avoided, by hand or by choice.
func (d *Dispatcher) Workers() (listed, avoided int) {
	for _, w := range d.workers {
		if !w.usable() || w.sickTill > d.now {
			avoided++
		}
	}
	return len(d.workers), avoided
}
