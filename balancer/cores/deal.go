package cores

// Load is what is known of one core when connections are dealt out.
type Load struct {
	Conns  int     // that clients and servers have opened
	Served float64 // requests a second, of late
}

// connWeight is how many requests a second a connection counts for that has just been dealt: so that many that come at
// once do not all go to the core that was idle before.
const connWeight = 5

// Deal chooses the core for a new connection: the one with the least to do.
func Deal(loads []Load) int {
	best := 0
	for i := range loads {
		if loads[i].weight() < loads[best].weight() {
			best = i
		}
	}
	return best
}

func (l Load) weight() float64 { return l.Served + connWeight*float64(l.Conns) }

// Move says that some connections are to go from one core to another, because what came by them lately is uneven.
type Move struct{ From, To, Conns int }

const (
	// uneven is how much more than the mean the busiest core may serve, and worthMoving how many requests a second more.
	uneven, worthMoving = 1.25, 200.0
	// movesMost bounds how many connections move at a time: a move costs four system calls and a round through the poller.
	movesMost = 8
)

// Even returns the move that brings the cores nearer to one another, if any is worth it. Connections are kept for long, and
// the busy ones may have been dealt to one core; what is dealt from now on would even that out too late.
func Even(loads []Load) (m Move, any bool) {
	sum := 0.0
	for i := range loads {
		sum += loads[i].Served
		if loads[i].Served > loads[m.From].Served {
			m.From = i
		}
		if loads[i].Served < loads[m.To].Served {
			m.To = i
		}
	}
	mean := sum / float64(max(len(loads), 1))
	from := loads[m.From]
	excess := min(from.Served-mean, mean-loads[m.To].Served)
	if from.Served <= uneven*mean || from.Served-mean < worthMoving || from.Conns < 2 {
		return Move{}, false
	}
	// The busy ones among them are taken: each is at least as busy as the mean of that core's.
	m.Conns = min(max(int(excess/(from.Served/float64(from.Conns))), 1), movesMost, from.Conns-1)
	return m, true
}
