package chain

// proposalWindow is which of an origin's commands were ordered in the epoch.
type proposalWindow struct {
	low      uint64 // all below were ordered, or never will be submitted
	admitted map[uint64]bool
}

// admit says whether a number is new. What an origin says of its low may come out of order.
func (w *proposalWindow) admit(number, low uint64) bool {
	if low > w.low {
		w.low = low
		for old := range w.admitted {
			if old < low {
				delete(w.admitted, old)
			}
		}
	}
	if number < w.low || w.admitted[number] {
		return false
	}
	w.admitted[number] = true
	return true
}
