package rpc

// replyFunc takes a call's reply, or why there is none.
type replyFunc func(payload []byte, err error)

// pending are the calls of one connection that have no reply yet, by number. A number means something on its connection only: the
// calls of another begin with the same ones.
type pending struct {
	waiting map[uint32]replyFunc
	last    uint32

	// anyNumber takes the guard away: a reply ends whichever call waits. Only tests set it, to show that they notice.
	anyNumber bool
}

// add notes a call and returns its number, which no other that waits has. 0 is none.
func (p *pending) add(done replyFunc) uint32 {
	if p.waiting == nil {
		p.waiting = make(map[uint32]replyFunc)
	}
	p.last++
	for p.last == 0 || p.waiting[p.last] != nil {
		p.last++
	}
	p.waiting[p.last] = done
	return p.last
}

// take ends a call and returns who waits for it: nil if it has ended, as one that was given up.
func (p *pending) take(call uint32) replyFunc {
	if p.anyNumber {
		for other := range p.waiting {
			call = other
		}
	}
	done := p.waiting[call]
	delete(p.waiting, call)
	return done
}

// takeAll ends all calls.
func (p *pending) takeAll() map[uint32]replyFunc {
	all := p.waiting
	p.waiting = nil
	return all
}
