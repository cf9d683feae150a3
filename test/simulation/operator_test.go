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

// Timeouts and pauses of operators.
const (
	controlTimeout   = 850 * time.Millisecond // for the answer of a control process
	operatorTimeout  = 1200 * time.Millisecond
	operatorAttempts = 8
	maxOperatorPause = 400 * time.Millisecond
)

// operator sends orders, and repeats those whose outcome is unknown.
type operator struct {
	world        *world
	name         string
	knownVersion uint64 // newest configuration version that it was told of
	sent         int
	busy         bool
}

// sendNext sends the next order unless one is pending, and runs itself again after a pause.
func (o *operator) sendNext() {
	w := o.world
	if !w.operatorsStopped && !o.busy {
		o.send(o.nextCommand(), 0)
	}
	w.after(20*time.Millisecond+w.drawUpTo(maxOperatorPause), o.sendNext)
}

// nextCommand draws an order: a read, a set, an invalid set or a patch, sometimes on top of an old version.
func (o *operator) nextCommand() state.Command {
	w := o.world
	o.sent++
	base := o.knownVersion
	if w.random.IntN(12) == 0 && base > 0 {
		base -= uint64(w.random.IntN(2)) + 1
	}
	version := base + 1 + uint64(w.random.IntN(3))
	switch kind := w.random.IntN(8); {
	case kind == 0:
		return &state.Show{}
	case kind == 1:
		w.countFault("bad_config")
		return &state.Set{Base: base, Body: []byte(fmt.Sprintf(`{"version":%d,"routes":[{}],"backends":[],"limits":{}}`, version))}
	case kind < 5 && base > 0:
		return &state.Patch{Base: base, Body: []byte(fmt.Sprintf(`{"version":%d,"note":"%s %d"}`, version, o.name, o.sent))}
	}
	return &state.Set{Base: base, Body: []byte(w.document(version, o.name, o.sent))}
}

// routes are part of each valid configuration.
var routes = fmt.Sprintf(`{"name":"plain","host":"h","pathPrefix":"/jobs/","type":"deferred","backend":"jobs","timeoutMs":500,"retries":%[1]d,"retentionS":600},
{"name":"ordered","host":"h","pathPrefix":"/ordered/","type":"deferred","backend":"jobs","timeoutMs":500,"retries":%[1]d,"fifo":true,"retentionS":600},
{"name":"limited","host":"h","pathPrefix":"/limited/","type":"deferred","backend":"limited","timeoutMs":500,"retries":%[1]d,"retentionS":600}`, routeRetries)

func (w *world) document(version uint64, name string, number int) string {
	return fmt.Sprintf(`{"version":%d,"note":"%s %d","routes":[%s%s],"backends":[{"name":"jobs"},{"name":"alternate"},{"name":"limited","ratePerS":%d}],"limits":{}}`,
		version, name, number, routes, w.changingRoute(version), limitedRate)
}

// changingRoute returns the route for changingPath in a version of the configuration, with a leading comma. It leads to
// another service in each second version, and is absent in each fourth.
func (w *world) changingRoute(version uint64) string {
	const versions = 4
	if version%versions == 0 {
		return ""
	}
	service := plainService
	if version%2 == 1 && !w.settings.keepsService {
		service = alternateService
	}
	return fmt.Sprintf(`,{"name":"changing","host":"h","pathPrefix":"%s","type":"deferred","backend":"%s","timeoutMs":500,"retries":%d,"retentionS":600}`,
		changingPath, service, routeRetries)
}

// send sends an order to a random control process, and repeats it until it is accepted or refused, up to
// operatorAttempts times.
func (o *operator) send(command state.Command, attempts int) {
	w := o.world
	targets := w.controls()
	if w.settings.asksRunning {
		targets = slices.DeleteFunc(targets, func(c *control) bool { return c.incarnation == nil })
	}
	o.busy = true
	w.sendOrder(targets[w.random.IntN(len(targets))], command, func(op *operation) {
		w.history.answerReceived(op)
		switch op.answer {
		case answerUnknown, answerUnavailable:
			if attempts < operatorAttempts {
				if attempts > 0 && op.answer == answerUnknown {
					w.counts["an order repeated"]++
				}
				w.after(w.drawUpTo(maxOperatorPause), func() { o.send(command, attempts+1) })
				return
			}
		case answerAccepted, answerRefusedVersion:
			o.knownVersion = max(o.knownVersion, op.version)
		}
		o.busy = false
	})
}

// sendOrder sends an order to a control process once. done is called when the operator has an answer or times out.
func (w *world) sendOrder(c *control, command state.Command, done func(*operation)) {
	encoded, err := state.Encode(command)
	if err != nil {
		w.fail("%v", err)
		return
	}
	op := w.history.orderSent(encoded)
	finished := false
	finish := func() {
		if finished {
			return
		}
		finished = true
		w.history.orderAnswered(op)
		done(op)
	}
	w.after(operatorTimeout, finish)
	w.after(w.drawBetween(minLatency, maxLatency), func() {
		switch {
		case c.incarnation == nil && c.poweredOff:
		case c.incarnation == nil:
			op.answer = answerUnavailable
			finish()
		default:
			l := c.incarnation
			l.after(0, func() {
				c.handleOrder(l, command, encoded, func(a answer, version uint64, end []byte, position int) {
					if w.ackLossPercent > 0 && w.random.IntN(100) < w.ackLossPercent {
						w.countFault("ack_lost")
						return
					}
					w.after(w.drawBetween(minLatency, maxLatency), func() {
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

// handleOrder answers an order as package api does.
func (c *control) handleOrder(l *incarnation, command state.Command, encoded []byte, reply func(a answer, version uint64, result []byte, position int)) {
	if err := validateStateless(command); err != nil {
		reply(answerRefusedInvalid, 0, nil, -1)
		return
	}
	if c.world.mutant == refusesByLocalState && c.refusesLocally(command) {
		reply(answerRefusedVersion, c.state.machine.Current().Version, nil, -1)
		return
	}
	c.submitCommand(l, encoded, controlTimeout, func(end core.Completion) {
		switch {
		case end.Err == nil:
		case errors.Is(end.Err, core.ErrUnavailable):
			reply(answerUnavailable, 0, nil, -1)
			return
		default:
			if c.world.mutant == reportsUnknownAsNotApplied {
				reply(answerUnavailable, 0, nil, -1)
				return
			}
			reply(answerUnknown, 0, nil, -1)
			return
		}
		result, err := state.DecodeResult(end.Result)
		if err != nil {
			c.world.fail("%s: %v", c.name, err)
			return
		}
		reply(answerOf(result), result.Version, end.Result, c.resultPositions[&end.Result[0]])
	})
}

// refusesLocally reports whether an order conflicts with the local, possibly stale, state of this process.
func (c *control) refusesLocally(command state.Command) bool {
	version := c.state.machine.Current().Version
	switch order := command.(type) {
	case *state.Set:
		return order.Base != version
	case *state.Patch:
		return order.Base != version
	}
	return false
}

// validateStateless validates the parts of an order that do not depend on the state.
func validateStateless(command state.Command) error {
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
		return answerAccepted
	case state.OutcomeRefusedVersion:
		return answerRefusedVersion
	}
	return answerRefusedInvalid
}

// raceOrders sends two orders for the same version at once to two control processes. Each is repeated if its outcome is
// unknown, and in half of the other cases.
func (w *world) raceOrders() {
	targets := w.controls()
	base := max(w.operators[0].knownVersion, w.operators[1].knownVersion)
	w.raceCount++
	for i := range 2 {
		command := &state.Set{Base: base, Body: []byte(w.document(base+1, fmt.Sprint("race-", i), w.raceCount))}
		op := &operator{world: w, name: "race", busy: true}
		target := targets[(w.raceCount+i)%len(targets)]
		w.sendOrder(target, command, func(answered *operation) {
			w.history.answerReceived(answered)
			if w.random.IntN(2) == 0 || answered.answer == answerUnknown {
				op.send(command, operatorAttempts-3)
			}
		})
	}
	w.countFault("config_race")
}
