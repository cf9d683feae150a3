package rpc

// replyFunc receives a call's reply, or the error that ended the call.
type replyFunc func(payload []byte, err error)

// pending holds the calls of one connection that await a reply, by call number. Numbers are unique only within a
// connection: every connection counts from 1.
type pending struct {
	waiting map[uint32]replyFunc
	last    uint32

	// ignoreCallNumbers disables the matching by number: a reply ends any waiting call. Only tests set it, to show that
	// they detect this fault.
	ignoreCallNumbers bool
}

// add registers a call and returns its number, which is not 0 and differs from those of all waiting calls.
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

// take removes a call and returns its callback, or nil if the call has ended already, for example because it was
// cancelled.
func (p *pending) take(call uint32) replyFunc {
	if p.ignoreCallNumbers {
		for other := range p.waiting {
			call = other
		}
	}
	done := p.waiting[call]
	delete(p.waiting, call)
	return done
}

// takeAll removes and returns all calls.
func (p *pending) takeAll() map[uint32]replyFunc {
	all := p.waiting
	p.waiting = nil
	return all
}
