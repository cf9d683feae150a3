package cores

// Load is the load of one core, by which connections are assigned.
type Load struct {
	Conns  int     // connections that clients and backend servers have opened
	Served float64 // recent requests per second
}

// connWeight is the load, in requests per second, that each connection counts for, so that many connections that arrive at
// once are not all assigned to the core that was idle before.
const connWeight = 5

// PickCore returns the index of the core for a new connection: the one with the least load.
func PickCore(loads []Load) int {
	best := 0
	for i := range loads {
		if loads[i].weight() < loads[best].weight() {
			best = i
		}
	}
	return best
}

func (l Load) weight() float64 { return l.Served + connWeight*float64(l.Conns) }

// Move is a number of connections to move from one core to another, because their recent loads are uneven.
type Move struct{ From, To, Conns int }

const (
	// uneven is the ratio to the mean load above which the busiest core gives connections away, and worthMoving the least
	// excess over the mean for that, in requests per second.
	uneven, worthMoving = 1.25, 200.0
	// maxMoves bounds how many connections move at a time: a move costs four system calls and a round through the poller.
	maxMoves = 8
)

// PlanMove returns a move that evens out the loads of the cores, if one is worth its cost. Connections are long-lived, and the busy
// ones may have been assigned to the same core; assigning new connections elsewhere would even that out too late.
func PlanMove(loads []Load) (m Move, any bool) {
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
	// The busy connections move first, so each carries at least the mean load of that core's connections.
	m.Conns = min(max(int(excess/(from.Served/float64(from.Conns))), 1), maxMoves, from.Conns-1)
	return m, true
}
