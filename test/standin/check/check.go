package check

import (
	"fmt"
	"sort"
	"time"

	"ravendale/test/standin/history"
)

// Rule is the name of a rule.
type Rule string

// The rules.
const (
	RuleLost        Rule = "LOST"
	RuleOrder       Rule = "ORDER"
	RuleTwice       Rule = "TWICE"
	RuleRateLimit   Rule = "CEILING"
	RuleMixed       Rule = "MIXED"
	RuleRefused     Rule = "REFUSED"
	RuleUnasked     Rule = "UNASKED"
	RuleRoute       Rule = "ROUTE"
	RuleDrain       Rule = "DRAIN"
	RuleConfig      Rule = "CONFIG"
	RuleEarly       Rule = "EARLY" // a run before the end of the message's delay: it violates no rule, but is useless
	RuleUndelivered Rule = "UNDELIVERED"
)

// Finding is one violation of a rule.
type Finding struct {
	Rule    Rule
	Subject string // Request-Id, service or version
	Reason  string
}

// String returns the rule, the subject and the reason.
func (f Finding) String() string { return fmt.Sprintf("%s %s: %s", f.Rule, f.Subject, f.Reason) }

// Bounds of the rules.
type Bounds struct {
	Drain         time.Duration // time after the list shows a worker as leaving until requests must not reach it
	Failover      time.Duration // added to Drain if a process was faulty or stopped within Contact, when a new leader may have to take over first
	Converge      time.Duration // time from the acknowledgement of a configuration until all edges use it
	Contact       time.Duration // time after a fault during which its effects are allowed
	RateWindow    time.Duration
	RateOvershoot float64       // originOvershoot
	Earliest      time.Duration // how much earlier than its delay a run may start
	LossSlack     time.Duration // a connection may close without an answer for this long after the request
	SuccessMargin time.Duration // a success counts if it was complete this long before the timeout
	RateSlack     int           // arrivals allowed beyond rate x window x overshoot
}

// DefaultBounds returns the bounds of the protocol's example.
func DefaultBounds() Bounds {
	return Bounds{
		Drain:         3 * time.Second,
		Converge:      3 * time.Second,
		Contact:       4 * time.Second,
		RateWindow:    5 * time.Second,
		RateOvershoot: 1.1,
		Earliest:      100 * time.Millisecond,
		LossSlack:     200 * time.Millisecond,
		SuccessMargin: 50 * time.Millisecond,
		RateSlack:     5,
	}
}

// All applies every rule except UNDELIVERED.
func All(h *history.History, bounds Bounds) []Finding {
	v := newView(h)
	var found []Finding
	found = append(found, v.lost()...)
	found = append(found, v.truncated(bounds)...)
	found = append(found, v.order()...)
	found = append(found, v.twice(bounds)...)
	found = append(found, v.rateLimits(bounds)...)
	found = append(found, v.mixed()...)
	found = append(found, v.refused()...)
	found = append(found, v.unasked()...)
	found = append(found, v.route()...)
	found = append(found, v.drain(bounds)...)
	found = append(found, v.config(bounds)...)
	found = append(found, v.early(bounds)...)
	return found
}

// Lost finds accepted messages that have not ended, but can't be read back or are reported as ended.
func Lost(h *history.History) []Finding { return newView(h).lost() }

// Truncated finds requests without an answer, although there was no unplanned fault at that time, that reached a worker
// or whose connection closed late.
func Truncated(h *history.History, bounds Bounds) []Finding { return newView(h).truncated(bounds) }

// Order finds runs on ordered routes that started before a message of the same key that was accepted earlier had ended.
func Order(h *history.History) []Finding { return newView(h).order() }

// Twice finds runs after a complete success, without an unplanned fault at that time.
func Twice(h *history.History, bounds Bounds) []Finding { return newView(h).twice(bounds) }

// RateLimits finds services with more arrivals in a window than their rate allows.
func RateLimits(h *history.History, bounds Bounds) []Finding { return newView(h).rateLimits(bounds) }

// Mixed finds states and bodies that belong to another message or to none.
func Mixed(h *history.History) []Finding { return newView(h).mixed() }

// Refused finds messages that ran although the answer to their client promised that they never would.
func Refused(h *history.History) []Finding { return newView(h).refused() }

// Unasked finds runs of requests that no client sent, or that differ from the client's request.
func Unasked(h *history.History) []Finding { return newView(h).unasked() }

// Route finds runs at services to which no configuration ever routed the request.
func Route(h *history.History) []Finding { return newView(h).route() }

// Drain finds requests that reached a worker too long after the list showed it as leaving.
func Drain(h *history.History, bounds Bounds) []Finding { return newView(h).drain(bounds) }

// Config finds requests that were handled by an outdated configuration, and pairs of changes that were both
// acknowledged on the same version.
func Config(h *history.History, bounds Bounds) []Finding { return newView(h).config(bounds) }

// Early finds runs that started before the message's delay was over.
func Early(h *history.History, bounds Bounds) []Finding { return newView(h).early(bounds) }

// Undelivered finds accepted messages that have not ended. It is stricter than the rules: use it where all messages
// could be delivered.
func Undelivered(h *history.History) []Finding { return newView(h).undelivered() }

// never is the end time of messages that have not ended; it is later than all times of a history.
const never = time.Duration(1<<63 - 1)

// view is a history with indices.
type view struct {
	*history.History
	sends    map[string]history.Send      // by Request-Id
	arrivals map[string][]history.Arrival // by Request-Id, in the order of arrival
	orders   []history.Order              // those that may have been applied, by version
	end      time.Duration                // of the history
}

func newView(h *history.History) *view {
	v := &view{
		History:  h,
		sends:    make(map[string]history.Send, len(h.Sends)),
		arrivals: make(map[string][]history.Arrival, len(h.Sends)),
	}
	for _, send := range h.Sends {
		v.sends[send.RequestID] = send
		v.end = max(v.end, send.Answered)
	}
	for _, arrival := range h.Arrivals {
		v.arrivals[arrival.RequestID] = append(v.arrivals[arrival.RequestID], arrival)
		v.end = max(v.end, arrival.Arrived, arrival.End)
	}
	for _, arrivals := range v.arrivals {
		sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].Arrived < arrivals[j].Arrived })
	}
	for _, order := range h.Orders {
		if order.MayBeApplied() {
			v.orders = append(v.orders, order)
		}
		v.end = max(v.end, order.Answered)
	}
	for _, reading := range h.Readings {
		v.end = max(v.end, reading.At)
	}
	sort.Slice(v.orders, func(i, j int) bool { return v.orders[i].Config.Version < v.orders[j].Config.Version })
	return v
}

// endTime returns when a message ended, or never. If the possible configurations give different ends, it is the
// earliest.
func (v *view) endTime(send history.Send) time.Duration {
	finished := v.expiryTime(send)
	var failures []time.Duration
	for _, arrival := range v.arrivals[send.RequestID] {
		switch arrival.Outcome {
		case history.OutcomeDone, history.OutcomeRefused:
			finished = min(finished, arrival.End)
		case history.OutcomeFailed:
			failures = append(failures, arrival.End)
		}
	}
	retries := v.retries(send.Route)
	sort.Slice(failures, func(i, j int) bool { return failures[i] < failures[j] })
	if retries > 0 && len(failures) >= retries {
		finished = min(finished, failures[retries-1])
	}
	return finished
}

// expiryTime returns when a message's retention ended or its route was removed, or never.
func (v *view) expiryTime(send history.Send) time.Duration {
	expired := never
	for _, order := range v.possibleOrders(send.Sent, never, 0) {
		route, found := order.Config.Route(send.Route)
		if !found {
			if v.existedBefore(send.Route, order.Config.Version) {
				expired = min(expired, max(order.Sent, send.Sent))
			}
			continue
		}
		retained := send.Sent + time.Duration(route.RetentionS*float64(time.Second))
		if retained <= v.end {
			expired = min(expired, retained)
		}
	}
	return expired
}

// existedBefore reports whether a version before the given one has a route, so that a version without it removes the
// route.
func (v *view) existedBefore(route string, before uint64) bool {
	for _, order := range v.orders {
		if _, found := order.Config.Route(route); found {
			return order.Config.Version < before
		}
	}
	return false
}

// retries is the smallest number of attempts that a version allows on a route.
func (v *view) retries(name string) int {
	retries := 0
	for _, order := range v.orders {
		route, found := order.Config.Route(name)
		if found && (retries == 0 || route.Retries < retries) {
			retries = route.Retries
		}
	}
	return retries
}

// isOrdered reports whether any version orders a route's messages by key.
func (v *view) isOrdered(name string) bool {
	for _, order := range v.orders {
		if route, found := order.Config.Route(name); found && route.Ordered {
			return true
		}
	}
	return false
}

// hasUnplannedFault reports whether an unplanned fault overlaps a period.
func (v *view) hasUnplannedFault(from, until time.Duration) bool {
	for _, fault := range v.Faults {
		if !fault.Planned && fault.At <= until && fault.Until >= from {
			return true
		}
	}
	return false
}

// hasFault reports whether any fault, planned or not, overlaps a period.
func (v *view) hasFault(from, until time.Duration) bool {
	for _, fault := range v.Faults {
		if fault.At <= until && fault.Until >= from {
			return true
		}
	}
	return false
}

// possibleOrders lists the orders whose configuration may apply to a request that was sent and handled at the given
// times: the newest one acknowledged more than converge before the request was sent, and all newer ones sent before it
// was handled.
func (v *view) possibleOrders(sent, handled, converge time.Duration) []history.Order {
	var possible []history.Order
	for _, order := range v.orders {
		if order.Acknowledged() && order.Answered+converge < sent {
			possible = possible[:0]
		}
		if order.Sent <= handled {
			possible = append(possible, order)
		}
	}
	return possible
}
