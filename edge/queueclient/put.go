package queueclient

import (
	"slices"
	"sync"
	"time"

	"ravendale/cluster/host"
	"ravendale/cluster/wire"
)

// Result is the result of a put.
type Result uint8

// The results of a Put.
const (
	Accepted Result = iota // on disk at all replicas
	Rejected               // surely not accepted, now or later
	Unknown                // it may have been accepted, or may still be
)

// Limits bound the time of a put.
type Limits struct {
	Attempt    time.Duration // for so long attempts are made
	Answer     time.Duration // then a missing answer is waited for so long,
	LateAnswer time.Duration // and so long, with more attempts, if the put can still be decided
}

// Put puts a message into the queue. What has no answer when the time for attempts is over is waited for a while longer, for a client
// that gets no answer does not come again. It sets the message's ID if the result is Accepted. A message with a key order keeps its
// ID and its partition through all attempts; another gets new ones with each. With dispatch it calls Config.Accepted before it
// returns; the message, its body included, must then not change any more.
func (c *Client) Put(m *wire.Message, dispatch bool, limits Limits) Result {
	p := &put{client: c, message: m, dispatch: dispatch, answered: c.host.Signal()}
	began := c.now()
	late := began + limits.Attempt + limits.LateAnswer
	p.attemptUntil(began + limits.Attempt)
	if p.isUndecided() && !p.canBeDecided() {
		p.awaitPending(limits.Answer)
	}
	if p.isUndecided() && p.canBeDecided() {
		p.attemptUntil(late)
		p.awaitPending(late - c.now())
	}
	return p.finish()
}

// put is one call of Put. The first of its attempts that is accepted wins.
type put struct {
	client   *Client
	message  *wire.Message
	dispatch bool
	answered host.Signal // something happened to an attempt

	mu       sync.Mutex
	attempts []*attempt
	accepted *attempt
	notified bool // Config.Accepted has returned
	finished bool
}

// attemptUntil makes attempts until one is accepted, or a time.
func (p *put) attemptUntil(expired time.Duration) {
	for goesOn := !p.isAccepted(); goesOn; {
		wait := rejectedPause
		t := p.startAttempt()
		if t != nil {
			wait = p.client.attemptTimeout()
		}
		goesOn = p.await(t, wait, expired)
		if goesOn && p.needsPause(t) {
			goesOn = p.await(nil, rejectedPause, expired)
		}
	}
}

// awaitPending waits for attempts that may still be answered, for so long at most.
func (p *put) awaitPending(limit time.Duration) {
	expired := p.client.now() + limit
	for !p.isAccepted() && p.hasPending() {
		left := expired - p.client.now()
		if left <= 0 {
			return
		}
		p.answered.Wait(left)
	}
}

// isUndecided reports whether the message was not accepted as far as is known, and may have been, or may still be.
func (p *put) isUndecided() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted == nil && len(p.unresolved()) > 0
}

// canBeDecided reports whether an undecided put is likely to be accepted if it goes on. It is where no store owes an answer: one could not say
// what became of the message, as its partition goes to another store, by plan or not, which takes the message anew or as a repeat. It also is
// where a store that owes an answer has accepted another message a short while ago: it is slow, not down. A silent store is not waited for:
// its successor comes too late for the client.
func (p *put) canBeDecided() bool {
	now := p.client.now()
	patience := p.client.attemptTimeout()
	p.mu.Lock()
	defer p.mu.Unlock()
	pending := false
	for _, t := range p.attempts {
		if t.state != attemptPending {
			continue
		}
		pending = true
		if t.stores[0].acceptedSince(now - patience) {
			return true
		}
	}
	return !pending
}

// hasPending reports whether an attempt has no answer yet.
func (p *put) hasPending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.attempts, func(t *attempt) bool { return t.state == attemptPending })
}

// needsPause reports whether the next attempt would come too soon: after a rejection there is not always another partition to turn to.
func (p *put) needsPause(t *attempt) bool {
	if t == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.state == attemptPending {
		return false
	}
	return p.message.Ordered || len(p.attempts)%attemptsBeforePause == 0
}

// await waits until an attempt has an answer, or a time, and reports whether the put goes on.
func (p *put) await(t *attempt, wait, expired time.Duration) bool {
	timeout := p.client.now() + wait
	for {
		now := p.client.now()
		answered := p.answered.Wait(min(timeout, expired) - now)
		switch {
		case answered && p.isAccepted():
			return false
		case answered && t != nil && p.hasAnswer(t):
			return true
		case answered:
		case now >= expired:
			p.suspectStores(t)
			return false
		case now >= timeout:
			p.suspectStores(t)
			return true
		}
	}
}

func (p *put) isAccepted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted != nil
}

func (p *put) hasAnswer(t *attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return t.state != attemptPending
}

// suspectStores marks the stores suspect that left an attempt unanswered: any of a partition's may be the slow one.
func (p *put) suspectStores(t *attempt) {
	if t == nil || p.hasAnswer(t) {
		return
	}
	now := p.client.now()
	for _, s := range t.stores {
		s.markSuspect(now)
	}
}

// finish ends a put and returns its result.
func (p *put) finish() Result {
	p.mu.Lock()
	p.finished = true
	unresolved := p.unresolved()
	result := Rejected
	if len(unresolved) > 0 {
		result = Unknown
	}
	if p.accepted != nil {
		result = Accepted
	}
	p.mu.Unlock()
	p.dropUnresolved(unresolved) // first: a claim that is made meanwhile names them by one list or the other
	p.client.forget(p)
	return result
}

// unresolved returns the attempts that may have been accepted without an answer that says so. A grant says so too.
func (p *put) unresolved() (found []*attempt) {
	for _, t := range p.attempts {
		if t.state == attemptPending || t.state == attemptUnknown || t.state == attemptRejected && t.granted {
			found = append(found, t)
		}
	}
	return found
}

// dropUnresolved has stores drop what they may have accepted by other attempts than the one that counts: it would run once more.
func (p *put) dropUnresolved(unresolved []*attempt) {
	dropped := make(map[string]bool)
	if p.accepted != nil {
		dropped[p.accepted.id] = true
	}
	for _, t := range unresolved {
		if !dropped[t.id] {
			dropped[t.id] = true
			p.client.Report(wire.Report{ID: t.id, Kind: wire.ReportDropped})
		}
	}
}

func (p *put) wake() {
	p.answered.Give()
}
