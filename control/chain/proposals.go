package chain

// proposalWindow records which of an origin's commands were ordered in the epoch, to detect duplicates.
type proposalWindow struct {
	low      uint64 // commands with lower numbers were ordered or will never be submitted
	admitted map[uint64]bool
}

// admit reports whether a command's number is new, and records it. The values of low may arrive out of order.
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
