package dispatch

import (
	"strings"
	"time"

	"ravendale/cluster/wire"
)

type phase uint8

const (
	ungranted phase = iota // it waits for its turn in the order of its key
	waiting                // until due
	throttled              // for a token of its service's ceiling
	queued                 // until its service's module can be handed another
	handed                 // its service's module has it
	returning              // given back when it is due, for another edge to deliver
	reported               // its end is told to the queue, and not yet acknowledged
)

// message is one that the edge holds.
type message struct {
	wire.Message
	phase    phase
	due      time.Duration // when it is to be looked at
	start    time.Duration // it may not run earlier
	beginBy  time.Duration // its route's aim for that
	dropAt   time.Duration // it is not dropped earlier for want of a route
	expires  time.Duration // the end of its retention
	failed   uint16        // failed attempts
	pauses   int           // tries that ran nothing
	broken   int           // tries with an unknown outcome that were followed at once
	granted  bool
	released bool // reported as given back
	tried    bool
	size     int
	position int // in the queue of those with a time; -1: not there

	service *service // while throttled or handed
	job     *job     // while handed
}

func (m *message) path() string {
	path, _, _ := strings.Cut(m.Target, "?")
	return path
}

func (m *message) ready() bool { return !m.Ordered || m.granted }

// agenda is a heap of messages by due time.
type agenda []*message

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].due < a[j].due }
func (a agenda) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].position, a[j].position = i, j
}

// Push is called by the heap.
func (a *agenda) Push(x any) {
	m := x.(*message)
	m.position = len(*a)
	*a = append(*a, m)
}

// Pop is called by the heap.
func (a *agenda) Pop() any {
	last := len(*a) - 1
	m := (*a)[last]
	(*a)[last] = nil
	*a = (*a)[:last]
	m.position = -1
	return m
}
