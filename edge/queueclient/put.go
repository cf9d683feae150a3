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
	Accepted Result = iota // the message is on disk at all replicas
	Rejected               // the message was not accepted, and will not be
	Unknown                // the message may have been accepted, or may still be
)

// Limits bounds the duration of a put.
type Limits struct {
	Attempt    time.Duration // how long attempts are made
	Answer     time.Duration // how long to wait after Attempt for missing answers
	LateAnswer time.Duration // how long to go on after Attempt, with further attempts, if the put can still be decided
}

// Put puts a message into the queue. After the time for attempts it waits for missing answers a while longer, because a
// client that gets no answer does not retry. It sets the message's ID if the result is Accepted. The ID has
// configVersion, the version of the configuration in which the message's route was found. An ordered message
// with a key keeps its ID and its partition in all attempts; any other message gets new ones for each attempt. If
// dispatch is set and the message is accepted, Put calls Config.Accepted before it returns; the message and its body
// must not be changed from then on.
func (c *Client) Put(m *wire.Message, configVersion uint64, dispatch bool, limits Limits) Result {
	p := &put{client: c, message: m, configVersion: configVersion, dispatch: dispatch, answered: c.host.Signal()}
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
	client        *Client
	message       *wire.Message
	configVersion uint64
	dispatch      bool
	answered      host.Signal // signalled when the state of an attempt changes

	mu       sync.Mutex
	attempts []*attempt
	accepted *attempt
	notified bool // Config.Accepted has returned
	finished bool
}

// attemptUntil makes attempts until one is accepted or the deadline has passed.
func (p *put) attemptUntil(deadline time.Duration) {
	for retry := !p.isAccepted(); retry; {
		wait := rejectedPause
		a := p.startAttempt()
		if a != nil {
			wait = p.client.attemptTimeout()
		}
		retry = p.await(a, wait, deadline)
		if retry && p.needsPause(a) {
			retry = p.await(nil, rejectedPause, deadline)
		}
	}
}

// awaitPending waits until an attempt is accepted or all attempts are answered, but no longer than the limit.
func (p *put) awaitPending(limit time.Duration) {
	deadline := p.client.now() + limit
	for !p.isAccepted() && p.hasPending() {
		remaining := deadline - p.client.now()
		if remaining <= 0 {
			return
		}
		p.answered.Wait(remaining)
	}
}

// isUndecided reports whether no attempt is known to be accepted, but at least one may have been or may still be.
func (p *put) isUndecided() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted == nil && len(p.unresolved()) > 0
}

// canBeDecided reports whether an undecided put is likely to be accepted if it goes on. That is the case if no answer
// is outstanding: a store answered that it does not know whether the message was accepted because its partition moves
// to another store, planned or not, and that store accepts the message as new or as a repeat. It is also the case if a
// store with an outstanding answer has accepted another message recently: it is slow, not down. Put does not wait for a
// store that does not respond: its successor would take over too late for the client.
func (p *put) canBeDecided() bool {
	now := p.client.now()
	recent := p.client.attemptTimeout()
	p.mu.Lock()
	defer p.mu.Unlock()
	pending := false
	for _, a := range p.attempts {
		if a.state != attemptPending {
			continue
		}
		pending = true
		if a.stores[0].acceptedSince(now - recent) {
			return true
		}
	}
	return !pending
}

// hasPending reports whether an attempt has no answer yet.
func (p *put) hasPending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.attempts, func(a *attempt) bool { return a.state == attemptPending })
}

// needsPause reports whether to pause before the next attempt: after a rejection there may be no other partition to try.
func (p *put) needsPause(a *attempt) bool {
	if a == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.state == attemptPending {
		return false
	}
	return p.message.Ordered || len(p.attempts)%attemptsBeforePause == 0
}

// await waits until attempt a is answered, wait has passed or the deadline is reached, and reports whether the put
// makes further attempts. A nil attempt waits for the times only, and for the put to be accepted.
func (p *put) await(a *attempt, wait, deadline time.Duration) bool {
	timeout := p.client.now() + wait
	for {
		now := p.client.now()
		answered := p.answered.Wait(min(timeout, deadline) - now)
		switch {
		case answered && p.isAccepted():
			return false
		case answered && a != nil && p.hasAnswer(a):
			return true
		case answered:
		case now >= deadline:
			p.suspectStores(a)
			return false
		case now >= timeout:
			p.suspectStores(a)
			return true
		}
	}
}

func (p *put) isAccepted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted != nil
}

func (p *put) hasAnswer(a *attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return a.state != attemptPending
}

// suspectStores marks all replicas of an unanswered attempt's partition as suspect: any of them may be the slow one.
func (p *put) suspectStores(a *attempt) {
	if a == nil || p.hasAnswer(a) {
		return
	}
	now := p.client.now()
	for _, s := range a.stores {
		s.markSuspect(now)
	}
}

// finish ends the put and returns its result.
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
	p.dropUnresolved(unresolved) // before forget: a concurrent claim finds the IDs in one list or the other
	p.client.forget(p)
	return result
}

// unresolved returns the attempts that were not answered as accepted, but may have been accepted. A rejected attempt
// whose message was granted is one of them.
func (p *put) unresolved() (found []*attempt) {
	for _, a := range p.attempts {
		if a.state == attemptPending || a.state == attemptUnknown || a.state == attemptRejected && a.granted {
			found = append(found, a)
		}
	}
	return found
}

// dropUnresolved reports the messages of unresolved attempts as dropped, except for the accepted ID: otherwise the
// message would run twice.
func (p *put) dropUnresolved(unresolved []*attempt) {
	dropped := make(map[string]bool)
	if p.accepted != nil {
		dropped[p.accepted.id] = true
	}
	for _, a := range unresolved {
		if !dropped[a.id] {
			dropped[a.id] = true
			p.client.Report(abandonedPut(a.id))
		}
	}
}

// abandonedPut returns the report that drops the message of an attempt.
func abandonedPut(id string) wire.Report {
	return wire.Report{ID: id, Kind: wire.ReportDropped, Signature: string(wire.DropAbandonedPut)}
}

func (p *put) wake() {
	p.answered.Notify()
}
