package check

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	"ravendale/test/standin/history"
	"ravendale/test/standin/protocol"
)

// lastReadings returns the last reading of each message, by Request-Id.
func (v *view) lastReadings() map[string]history.Reading {
	last := make(map[string]history.Reading, len(v.Readings))
	for _, reading := range v.Readings {
		if reading.At >= last[reading.RequestID].At {
			last[reading.RequestID] = reading
		}
	}
	return last
}

func (v *view) lost() []Finding {
	var found []Finding
	readings := v.lastReadings()
	for _, send := range v.Sends {
		if !send.Accepted() || v.endTime(send) != never {
			continue
		}
		reading, read := readings[send.RequestID]
		switch {
		case !read || reading.StateStatus != http.StatusOK:
			found = append(found, Finding{RuleLost, send.RequestID, fmt.Sprintf("accepted at %v, has not ended, but its state can't be read (status %d)", send.Answered, reading.StateStatus)})
		case reading.State != protocol.StatePending:
			found = append(found, Finding{RuleLost, send.RequestID, "has not ended, but is reported as " + reading.State})
		case reading.BodyStatus != http.StatusOK:
			found = append(found, Finding{RuleLost, send.RequestID, fmt.Sprintf("has not ended, but its body can't be read (status %d)", reading.BodyStatus)})
		}
	}
	return found
}

func (v *view) truncated(bounds Bounds) []Finding {
	var found []Finding
	for _, send := range v.Sends {
		if send.Status != 0 || v.hasUnplannedFault(send.Sent-bounds.Contact, send.Answered) {
			continue
		}
		took := send.Answered - send.Sent
		if runs := len(v.arrivals[send.RequestID]); runs > 0 || took > bounds.LossSlack {
			reason := fmt.Sprintf("sent at %v to %s, ended without an answer after %v (%s), reached workers %d times", send.Sent, send.Edge, took, send.Problem, runs)
			found = append(found, Finding{RuleLost, send.RequestID, reason})
		}
	}
	return found
}

func (v *view) undelivered() []Finding {
	var found []Finding
	for _, send := range v.Sends {
		if send.Accepted() && v.endTime(send) == never {
			reason := fmt.Sprintf("route %s key %q, accepted at %v with delay %v as %s, arrived %d times", send.Route, send.Key, send.Answered, send.Delay, send.MessageID, len(v.arrivals[send.RequestID]))
			found = append(found, Finding{RuleUndelivered, send.RequestID, reason})
		}
	}
	return found
}

// latestEnd is the latest end among a message and all messages of its key that were accepted before it.
type latestEnd struct {
	accepted time.Duration
	finished time.Duration
	id       string
}

func (v *view) order() []Finding {
	var found []Finding
	for key, sends := range v.sendsByKey() {
		earlier := v.latestEnds(sends)
		for _, send := range sends {
			i := sort.Search(len(earlier), func(i int) bool { return earlier[i].accepted >= send.Sent })
			if i == 0 {
				continue
			}
			last := earlier[i-1]
			for _, arrival := range v.arrivals[send.RequestID] {
				if arrival.Started() && arrival.Start < last.finished {
					reason := fmt.Sprintf("key %s: started at %v before %s had ended (%s)", key, arrival.Start, last.id, formatEnd(last.finished))
					found = append(found, Finding{RuleOrder, send.RequestID, reason})
				}
			}
		}
	}
	return found
}

func formatEnd(finished time.Duration) string {
	if finished == never {
		return "never"
	}
	return finished.String()
}

// sendsByKey groups the messages of ordered routes by key.
func (v *view) sendsByKey() map[string][]history.Send {
	grouped := make(map[string][]history.Send)
	ordered := make(map[string]bool)
	for _, send := range v.Sends {
		known, checked := ordered[send.Route]
		if !checked {
			known = v.isOrdered(send.Route)
			ordered[send.Route] = known
		}
		if known && send.Key != "" {
			grouped[send.Key] = append(grouped[send.Key], send)
		}
	}
	return grouped
}

func (v *view) latestEnds(sends []history.Send) []latestEnd {
	var endings []latestEnd
	for _, send := range sends {
		if send.Accepted() {
			endings = append(endings, latestEnd{accepted: send.Answered, finished: v.endTime(send), id: send.RequestID})
		}
	}
	sort.Slice(endings, func(i, j int) bool { return endings[i].accepted < endings[j].accepted })
	for i := 1; i < len(endings); i++ {
		if endings[i-1].finished > endings[i].finished {
			endings[i].finished = endings[i-1].finished
			endings[i].id = endings[i-1].id
		}
	}
	return endings
}

func (v *view) twice(bounds Bounds) []Finding {
	var found []Finding
	for id, arrivals := range v.arrivals {
		for _, done := range arrivals {
			if done.Outcome != history.OutcomeDone || !done.Answered || !v.succeededInTime(id, done, bounds) {
				continue
			}
			for _, again := range arrivals {
				if !again.Started() || again.Start <= done.Written || v.hasUnplannedFault(done.Start-bounds.Contact, again.Arrived) {
					continue
				}
				reason := fmt.Sprintf("succeeded at %v at %s and ran again at %v at %s", done.End, done.Worker, again.Start, again.Worker)
				found = append(found, Finding{RuleTwice, id, reason})
			}
		}
	}
	return found
}

// succeededInTime reports whether a success was complete by SuccessMargin before its timeout in every version.
func (v *view) succeededInTime(id string, done history.Arrival, bounds Bounds) bool {
	for _, order := range v.orders {
		route, found := order.Config.Route(v.sends[id].Route)
		timeout := time.Duration(route.TimeoutMs * float64(time.Millisecond))
		if found && done.Written > done.Arrived+timeout-bounds.SuccessMargin {
			return false
		}
	}
	return true
}

func (v *view) rateLimits(bounds Bounds) []Finding {
	rates := v.maxRates()
	arrived := make(map[string][]time.Duration)
	for _, arrival := range v.Arrivals {
		if rates[arrival.Service] > 0 {
			arrived[arrival.Service] = append(arrived[arrival.Service], arrival.Arrived)
		}
	}
	var found []Finding
	for service, times := range arrived {
		allowed := int(rates[service]*bounds.RateWindow.Seconds()*bounds.RateOvershoot) + bounds.RateSlack
		if most, at := maxInWindow(times, bounds.RateWindow); most > allowed {
			found = append(found, Finding{RuleRateLimit, service, fmt.Sprintf("%d arrivals in the window from %v, limit %d", most, at, allowed)})
		}
	}
	return found
}

// maxRates returns the highest rate of any version, by service.
func (v *view) maxRates() map[string]float64 {
	rates := make(map[string]float64)
	for _, order := range v.orders {
		for _, service := range order.Config.Services {
			rates[service.Name] = max(rates[service.Name], service.RatePerS)
		}
	}
	return rates
}

// maxInWindow returns the largest number of times in any window, and the first time in that window.
func maxInWindow(times []time.Duration, window time.Duration) (most int, at time.Duration) {
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	first := 0
	for i, t := range times {
		for t-times[first] > window {
			first++
		}
		if i-first+1 > most {
			most, at = i-first+1, times[first]
		}
	}
	return most, at
}

func (v *view) mixed() []Finding {
	var found []Finding
	for _, reading := range v.Readings {
		send, sent := v.sends[reading.RequestID]
		if !sent || reading.StateStatus != http.StatusOK {
			continue
		}
		if reason := v.mixedReason(send, reading); reason != "" {
			found = append(found, Finding{RuleMixed, reading.RequestID, reason})
		}
	}
	return found
}

func (v *view) mixedReason(send history.Send, reading history.Reading) string {
	switch reading.State {
	case protocol.StateDone:
		if !v.hasSignature(reading) {
			return fmt.Sprintf("is reported as done with signature %q, which no run of it returned", reading.Signature)
		}
	case protocol.StateDead:
		if v.endTime(send) > reading.At {
			return "is reported as a dead letter, but has not ended"
		}
	case protocol.StatePending:
	default:
		return fmt.Sprintf("is reported with unknown state %q", reading.State)
	}
	if reading.BodyStatus == http.StatusOK && reading.Body != send.Body {
		return "its body differs from the body that was sent"
	}
	return ""
}

func (v *view) hasSignature(reading history.Reading) bool {
	for _, arrival := range v.arrivals[reading.RequestID] {
		if arrival.Outcome == history.OutcomeDone && arrival.Signature == reading.Signature && reading.Signature != "" {
			return true
		}
	}
	return false
}

func (v *view) refused() []Finding {
	var found []Finding
	for _, send := range v.Sends {
		if !send.Promised() {
			continue
		}
		for _, arrival := range v.arrivals[send.RequestID] {
			if arrival.Started() {
				reason := fmt.Sprintf("was answered %d at %v, but ran at %v", send.Status, send.Answered, arrival.Start)
				found = append(found, Finding{RuleRefused, send.RequestID, reason})
			}
		}
	}
	return found
}

func (v *view) unasked() []Finding {
	var found []Finding
	for _, arrival := range v.Arrivals {
		if !arrival.Started() {
			continue
		}
		if reason := v.unaskedReason(arrival); reason != "" {
			found = append(found, Finding{RuleUnasked, arrival.RequestID, reason})
		}
	}
	return found
}

func (v *view) unaskedReason(arrival history.Arrival) string {
	send, sent := v.sends[arrival.RequestID]
	switch {
	case !sent:
		return "no client sent it"
	case arrival.Method != send.Method || arrival.Host != send.Host || arrival.Target != send.Target:
		return fmt.Sprintf("ran as %s %s%s, was sent as %s %s%s", arrival.Method, arrival.Host, arrival.Target, send.Method, send.Host, send.Target)
	case arrival.Body != send.Body:
		return "ran with a body that differs from the one that was sent"
	case arrival.Key != send.Key:
		return fmt.Sprintf("ran with the order key %q, was sent with %q", arrival.Key, send.Key)
	}
	return ""
}

func (v *view) route() []Finding {
	var found []Finding
	for _, arrival := range v.Arrivals {
		if !arrival.Started() || v.isRouted(arrival) {
			continue
		}
		found = append(found, Finding{RuleRoute, arrival.RequestID, "no configuration routes it to " + arrival.Service})
	}
	return found
}

// isRouted reports whether the configuration of any order, even a refused one, routes the request to the service.
func (v *view) isRouted(arrival history.Arrival) bool {
	for _, order := range v.Orders {
		if route, found := order.Config.Match(arrival.Host, arrival.Target); found && route.Service == arrival.Service {
			return true
		}
	}
	return false
}

func (v *view) drain(bounds Bounds) []Finding {
	shown := make(map[string]time.Duration, len(v.Drains))
	for _, drain := range v.Drains {
		shown[drain.Worker] = drain.Shown
	}
	var found []Finding
	for _, arrival := range v.Arrivals {
		at, leaving := shown[arrival.Worker]
		if !leaving || !arrival.Listed || arrival.Status == http.StatusMisdirectedRequest {
			continue
		}
		allowed := bounds.Drain
		if v.hasFault(arrival.Arrived-bounds.Contact, arrival.Arrived) {
			allowed += bounds.Failover
		}
		if arrival.Arrived <= at+allowed {
			continue
		}
		reason := fmt.Sprintf("reached %s at %v, which was listed as leaving at %v", arrival.Worker, arrival.Arrived, at)
		found = append(found, Finding{RuleDrain, arrival.RequestID, reason})
	}
	return found
}

func (v *view) config(bounds Bounds) []Finding {
	var found []Finding
	for _, send := range v.Sends {
		if reason := v.configSendReason(send, bounds); reason != "" {
			found = append(found, Finding{RuleConfig, send.RequestID, reason})
		}
	}
	for _, arrival := range v.Arrivals {
		if reason := v.configRunReason(arrival, bounds); reason != "" {
			found = append(found, Finding{RuleConfig, arrival.RequestID, reason})
		}
	}
	return append(found, v.writeRaces()...)
}

func (v *view) configSendReason(send history.Send, bounds Bounds) string {
	if !send.Accepted() && send.Status != http.StatusNotFound {
		return ""
	}
	possible := v.possibleOrders(send.Sent, send.Answered, bounds.Converge)
	there := 0
	for _, order := range possible {
		if _, found := order.Config.Match(send.Host, send.Target); found {
			there++
		}
	}
	switch {
	case send.Accepted() && there == 0:
		return fmt.Sprintf("was accepted at %v, but no version that may be in force has its route", send.Answered)
	case !send.Accepted() && len(possible) > 0 && there == len(possible):
		return fmt.Sprintf("was answered 404 at %v, but every version that may be in force has its route", send.Answered)
	}
	return ""
}

func (v *view) configRunReason(arrival history.Arrival, bounds Bounds) string {
	send, sent := v.sends[arrival.RequestID]
	if !sent || !arrival.Started() {
		return ""
	}
	for _, order := range v.possibleOrders(send.Sent, arrival.Arrived, bounds.Converge) {
		if route, found := order.Config.Match(arrival.Host, arrival.Target); found && route.Service == arrival.Service {
			return ""
		}
	}
	return fmt.Sprintf("sent at %v, ran at %v at %s, but no version that may be in force routes it there", send.Sent, arrival.Start, arrival.Service)
}

// writeRaces finds pairs of changes on the same base version that were both acknowledged.
func (v *view) writeRaces() []Finding {
	var found []Finding
	taken := make(map[uint64]uint64) // version by base
	for _, order := range v.orders {
		if !order.Acknowledged() {
			continue
		}
		version := order.Config.Version
		if other, twice := taken[order.Base]; twice && other != version {
			reason := fmt.Sprintf("versions %d and %d were both acknowledged", other, version)
			found = append(found, Finding{RuleConfig, fmt.Sprintf("base %d", order.Base), reason})
		}
		taken[order.Base] = version
	}
	return found
}

func (v *view) early(bounds Bounds) []Finding {
	var found []Finding
	for _, arrival := range v.Arrivals {
		send, sent := v.sends[arrival.RequestID]
		if !sent || !arrival.Started() || arrival.Start >= send.Sent+send.Delay-bounds.Earliest {
			continue
		}
		reason := fmt.Sprintf("sent at %v with a delay of %v, ran at %v", send.Sent, send.Delay, arrival.Start)
		found = append(found, Finding{RuleEarly, arrival.RequestID, reason})
	}
	return found
}
