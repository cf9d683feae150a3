package simulation

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"ravendale/cluster/catalog"
	"ravendale/control/core"
	"ravendale/control/state"
)

// Times of operators.
const (
	answerWithin     = 850 * time.Millisecond // of a control process
	operatorWaits    = 1200 * time.Millisecond
	operatorAttempts = 8
	operatorPauses   = 400 * time.Millisecond
)

// operator sends orders, and repeats those whose outcome it doesn't know.
type operator struct {
	world *world
	name  string
	known uint64 // the newest version that it knows
	sent  int
	busy  bool
}

// work sends one order after the other.
func (o *operator) work() {
	w := o.world
	if !w.ordersDone && !o.busy {
		o.send(o.choose(), 0)
	}
	w.after(20*time.Millisecond+w.upTo(operatorPauses), o.work)
}

// choose makes an order.
func (o *operator) choose() state.Command {
	w := o.world
	o.sent++
	base := o.known
	if w.random.IntN(12) == 0 && base > 0 {
		base -= uint64(w.random.IntN(2)) + 1
	}
	version := base + 1 + uint64(w.random.IntN(3))
	switch kind := w.random.IntN(8); {
	case kind == 0:
		return &state.Show{}
	case kind == 1:
		w.took("bad_config")
		return &state.Set{Base: base, Body: []byte(fmt.Sprintf(`{"version":%d,"routes":[{}],"backends":[],"limits":{}}`, version))}
	case kind < 5 && base > 0:
		return &state.Patch{Base: base, Body: []byte(fmt.Sprintf(`{"version":%d,"note":"%s %d"}`, version, o.name, o.sent))}
	}
	return &state.Set{Base: base, Body: []byte(document(version, o.name, o.sent))}
}

// routes are in force at all times.
var routes = fmt.Sprintf(`{"name":"plain","host":"h","pathPrefix":"/jobs/","type":"deferred","backend":"jobs","timeoutMs":500,"retries":%[1]d,"retentionS":600},
{"name":"ordered","host":"h","pathPrefix":"/ordered/","type":"deferred","backend":"jobs","timeoutMs":500,"retries":%[1]d,"fifo":true,"retentionS":600},
{"name":"limited","host":"h","pathPrefix":"/limited/","type":"deferred","backend":"limited","timeoutMs":500,"retries":%[1]d,"retentionS":600}`, attempts)

func document(version uint64, name string, number int) string {
	return fmt.Sprintf(`{"version":%d,"note":"%s %d","routes":[%s],"backends":[{"name":"jobs"},{"name":"limited","ratePerS":%d}],"limits":{}}`,
		version, name, number, routes, limitedRate)
}

// send has an order decided by some control process, and sends it again while its outcome is not known.
func (o *operator) send(command state.Command, attempts int) {
	w := o.world
	targets := w.controls()
	if w.settings.asksRunning {
		targets = slices.DeleteFunc(targets, func(c *control) bool { return c.incarnation == nil })
	}
	o.busy = true
	w.ask(targets[w.random.IntN(len(targets))], command, func(op *operation) {
		w.history.heard(op)
		switch op.answer {
		case unsure, unavailable:
			if attempts < operatorAttempts {
				if attempts > 0 && op.answer == unsure {
					w.counts["an order repeated"]++
				}
				w.after(w.upTo(operatorPauses), func() { o.send(command, attempts+1) })
				return
			}
		case taken, refusedVersion:
			o.known = max(o.known, op.version)
		}
		o.busy = false
	})
}

// ask sends an order to a control process once. Done is called when the operator has an answer, or gives up.
func (w *world) ask(c *control, command state.Command, done func(*operation)) {
	encoded, err := state.Encode(command)
	if err != nil {
		w.fail("%v", err)
		return
	}
	op := w.history.began(encoded)
	finished := false
	finish := func() {
		if finished {
			return
		}
		finished = true
		w.history.answered(op)
		done(op)
	}
	w.after(operatorWaits, finish)
	w.after(w.between(leastWay, mostWay), func() {
		switch {
		case c.incarnation == nil && c.dark:
		case c.incarnation == nil:
			op.answer = unavailable
			finish()
		default:
			l := c.incarnation
			l.after(0, func() {
				c.operate(l, command, encoded, func(a answer, version uint64, end []byte, position int) {
					if w.ackLoss > 0 && w.random.IntN(100) < w.ackLoss {
						w.took("ack_lost")
						return
					}
					w.after(w.between(leastWay, mostWay), func() {
						if !finished {
							op.answer, op.version, op.result, op.position = a, version, end, position
							finish()
						}
					})
				})
			})
		}
	})
}

// operate answers an order as package api does.
func (c *control) operate(l *incarnation, command state.Command, encoded []byte, reply func(a answer, version uint64, result []byte, position int)) {
	if err := checkAlone(command); err != nil {
		reply(refusedInvalid, 0, nil, -1)
		return
	}
	if c.world.mutant == refusesByApplied && c.refuses(command) {
		reply(refusedVersion, c.state.machine.Current().Version, nil, -1)
		return
	}
	c.order(l, encoded, answerWithin, func(end core.Completion) {
		switch {
		case end.Err == nil:
		case errors.Is(end.Err, core.ErrUnavailable):
			reply(unavailable, 0, nil, -1)
			return
		default:
			if c.world.mutant == unknownIsNever {
				reply(unavailable, 0, nil, -1)
				return
			}
			reply(unsure, 0, nil, -1)
			return
		}
		result, err := state.DecodeResult(end.Result)
		if err != nil {
			c.world.fail("%s: %v", c.name, err)
			return
		}
		reply(answerOf(result), result.Version, end.Result, c.applied[&end.Result[0]])
	})
}

// refuses says whether an order is refused by the state that this process happens to have.
func (c *control) refuses(command state.Command) bool {
	version := c.state.machine.Current().Version
	switch order := command.(type) {
	case *state.Set:
		return order.Base != version
	case *state.Patch:
		return order.Base != version
	}
	return false
}

// checkAlone is what is said of an order without the state.
func checkAlone(command state.Command) error {
	switch order := command.(type) {
	case *state.Set:
		_, err := catalog.Parse(order.Body)
		return err
	case *state.Patch:
		return catalog.CheckPatch(order.Body)
	}
	return nil
}

func answerOf(result *state.Result) answer {
	switch result.Outcome {
	case state.OutcomeApplied, state.OutcomeDuplicate:
		return taken
	case state.OutcomeRefusedVersion:
		return refusedVersion
	}
	return refusedInvalid
}

// race has two orders for the same number sent at once, to two processes; often each is sent again.
func (w *world) race() {
	targets := w.controls()
	base := max(w.operators[0].known, w.operators[1].known)
	w.races++
	for i := range 2 {
		command := &state.Set{Base: base, Body: []byte(document(base+1, fmt.Sprint("race-", i), w.races))}
		op := &operator{world: w, name: "race", busy: true}
		target := targets[(w.races+i)%len(targets)]
		w.ask(target, command, func(answered *operation) {
			w.history.heard(answered)
			if w.random.IntN(2) == 0 || answered.answer == unsure {
				op.send(command, operatorAttempts-3)
			}
		})
	}
	w.took("config_race")
}
