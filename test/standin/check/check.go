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
	RuleEarly       Rule = "EARLY" // a run before the delay is over: not a rule, but worth nothing
	RuleUndelivered Rule = "UNDELIVERED"
)

// Finding is one break of a rule.
type Finding struct {
	Rule    Rule
	Subject string // Request-Id, service or version
	Reason  string
}

// String gives the rule, the subject and the reason.
func (f Finding) String() string { return fmt.Sprintf("%s %s: %s", f.Rule, f.Subject, f.Reason) }

// Bounds of the rules.
type Bounds struct {
	Drain         time.Duration // from when the list shows a worker as leaving
	Failover      time.Duration // more, while no machine is in touch: a process was faulty or stopped within Contact
	Converge      time.Duration // from the acknowledgement of a configuration
	Contact       time.Duration // a fault counts so long
	RateWindow    time.Duration
	RateOvershoot float64       // originOvershoot
	Earliest      time.Duration // a run may begin so long before its delay is over
	LossSlack     time.Duration // a connection may close so long after a request without an answer
	SuccessMargin time.Duration // a success counts if it was complete so long before the time-out
	RateSlack     int           // allowed beyond rate x window x factor
}

// DefaultBounds are the figures of the protocol's example.
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

// All applies each rule.
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

// Lost finds accepted messages that have not ended and can't be read back, or are told to have ended.
func Lost(h *history.History) []Finding { return newView(h).lost() }

// Truncated finds requests that got no answer although no unplanned fault was near: they ran, or their connection closed late.
func Truncated(h *history.History, bounds Bounds) []Finding { return newView(h).truncated(bounds) }

// Order finds runs on ordered routes that started before one accepted earlier had ended.
func Order(h *history.History) []Finding { return newView(h).order() }

// Twice finds runs after a complete success, with no fault near.
func Twice(h *history.History, bounds Bounds) []Finding { return newView(h).twice(bounds) }

// RateLimits finds services that got more arrivals in a window than their rate allows.
func RateLimits(h *history.History, bounds Bounds) []Finding { return newView(h).rateLimits(bounds) }

// Mixed finds states and bodies that are another's, or that nobody gave.
func Mixed(h *history.History) []Finding { return newView(h).mixed() }

// Refused finds messages that ran although their client was promised that they never would.
func Refused(h *history.History) []Finding { return newView(h).refused() }

// Unasked finds requests at workers that no client sent, or not like that.
func Unasked(h *history.History) []Finding { return newView(h).unasked() }

// Route finds runs at services to which no configuration ever sent the request.
func Route(h *history.History) []Finding { return newView(h).route() }

// Drain finds requests that reached a worker too long after the list showed it as leaving.
func Drain(h *history.History, bounds Bounds) []Finding { return newView(h).drain(bounds) }

// Config finds requests that were handled as only an older version allows.
func Config(h *history.History, bounds Bounds) []Finding { return newView(h).config(bounds) }

// Early finds runs before a message's delay was over.
func Early(h *history.History, bounds Bounds) []Finding { return newView(h).early(bounds) }

// Undelivered finds accepted messages that have not ended. It is stricter than any rule: use it where all could be delivered.
func Undelivered(h *history.History) []Finding { return newView(h).undelivered() }

// never is later than all times of a history.
const never = time.Duration(1<<63 - 1)

// view is a history with its indices.
type view struct {
	*history.History
	sends    map[string]history.Send      // by Request-Id
	arrivals map[string][]history.Arrival // by Request-Id, in the order of arrival
	orders   []history.Order              // those that may have been taken, by version
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
		if order.Possible() {
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

// endOf is when a message ended, or never. Where versions differ, the earliest end counts.
func (v *view) endOf(send history.Send) time.Duration {
	finished := v.expired(send)
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

// expired is when a message's retention is over, or its route is dropped.
func (v *view) expired(send history.Send) time.Duration {
	expired := never
	for _, order := range v.possible(send.Sent, never, 0) {
		route, found := order.Config.Route(send.Route)
		if !found {
			if v.known(send.Route, order.Config.Version) {
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

// known says whether a version before the given one has a route, so that one without it drops it.
func (v *view) known(route string, before uint64) bool {
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

// ordered says whether any version orders a route's messages by key.
func (v *view) ordered(name string) bool {
	for _, order := range v.orders {
		if route, found := order.Config.Route(name); found && route.Ordered {
			return true
		}
	}
	return false
}

// unplanned says whether an unplanned fault lies in a span.
func (v *view) unplanned(from, until time.Duration) bool {
	for _, trouble := range v.Faults {
		if !trouble.Planned && trouble.At <= until && trouble.Until >= from {
			return true
		}
	}
	return false
}

// disturbed says whether any fault, planned or not, lies in a span.
func (v *view) disturbed(from, until time.Duration) bool {
	for _, trouble := range v.Faults {
		if trouble.At <= until && trouble.Until >= from {
			return true
		}
	}
	return false
}

// possible lists the orders that may rule a request sent and handled at some times: the newest that was acknowledged long enough
// before, and all newer ones.
func (v *view) possible(sent, handled, converge time.Duration) []history.Order {
	var possible []history.Order
	for _, order := range v.orders {
		if order.Taken() && order.Answered+converge < sent {
			possible = possible[:0]
		}
		if order.Sent <= handled {
			possible = append(possible, order)
		}
	}
	return possible
}
