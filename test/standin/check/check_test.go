package check_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/test/standin/check"
	"ravendale/test/standin/history"
	"ravendale/test/standin/protocol"
)

const second = time.Second

func at(figure float64) time.Duration { return time.Duration(figure * float64(second)) }

// configured is a configuration with two routes, one of them ordered.
func configured(version uint64) protocol.Config {
	return protocol.Config{
		Version: version,
		Routes: []protocol.Route{
			{Name: "plain", Host: "a.example", PathPrefix: "/plain/", Service: "work", Retries: 3, TimeoutMs: 1000, RetentionS: 90},
			{Name: "ordered", Host: "a.example", PathPrefix: "/ordered/", Service: "work", Retries: 3, TimeoutMs: 1000, RetentionS: 90, Ordered: true},
		},
		Services: []protocol.Service{{Name: "work", RatePerS: 2}},
	}
}

// kept is a history in which every rule is kept.
func kept() *history.History {
	return &history.History{
		Orders: []history.Order{{Config: configured(1), Status: http.StatusOK, Sent: at(0.1), Answered: at(0.2)}},
		Sends: []history.Send{
			sent("p1", "plain", "", 5),
			sent("o1", "ordered", "k", 6),
			sent("o2", "ordered", "k", 7),
		},
		Arrivals: []history.Arrival{done("p1", "plain", "", 5.1), done("o1", "ordered", "k", 6.1), done("o2", "ordered", "k", 7.1)},
		Readings: []history.Reading{
			{RequestID: "p1", At: at(20), StateStatus: http.StatusOK, State: protocol.StateDone, Signature: "s-p1"},
			{RequestID: "o1", At: at(20), StateStatus: http.StatusOK, State: protocol.StateDone, Signature: "s-o1"},
		},
	}
}

func sent(id, route, key string, when float64) history.Send {
	return history.Send{
		RequestID: id, MessageID: id, Route: route, Method: "POST", Host: "a.example", Target: "/" + route + "/x", Key: key, Body: 7,
		Sent: at(when), Answered: at(when + 0.05), Status: http.StatusAccepted,
	}
}

func done(id, route, key string, when float64) history.Arrival {
	return history.Arrival{
		RequestID: id, Service: "work", Worker: "w1", Listed: true, Method: "POST", Host: "a.example", Target: "/" + route + "/x",
		Key: key, Body: 7, Arrived: at(when), Start: at(when), End: at(when + 0.2), Status: http.StatusOK,
		Outcome: history.OutcomeDone, Signature: "s-" + id, Answered: true, Written: at(when + 0.2),
	}
}

func TestKeptHistoryHasNoFindings(t *testing.T) {
	assert.Empty(t, check.All(kept(), check.DefaultBounds()))
	assert.Empty(t, check.Undelivered(kept()))
}

// Each case breaks one rule in a history that kept all; exactly that rule must be found broken.
func TestBreaksAreFound(t *testing.T) {
	cases := []struct {
		name  string
		rule  check.Rule
		spoil func(h *history.History)
	}{
		{"an accepted message vanishes", check.RuleLost, func(h *history.History) {
			h.Sends = append(h.Sends, sent("gone", "plain", "", 8))
		}},
		{"an accepted message's body vanishes", check.RuleLost, func(h *history.History) {
			h.Sends = append(h.Sends, sent("gone", "plain", "", 8))
			h.Readings = append(h.Readings, history.Reading{RequestID: "gone", At: at(20), StateStatus: 200, State: protocol.StatePending, BodyStatus: 404})
		}},
		{"a run is cut off and the message forgotten", check.RuleLost, func(h *history.History) {
			h.Sends = append(h.Sends, sent("gone", "plain", "", 8))
			run := done("gone", "plain", "", 8.1)
			run.Outcome, run.Signature = history.OutcomeDropped, ""
			h.Arrivals = append(h.Arrivals, run)
		}},
		{"the second of a key starts while the first runs", check.RuleOrder, func(h *history.History) {
			h.Arrivals[1].End = at(7.15)
			h.Arrivals[1].Written = at(7.15)
		}},
		{"the second of a key starts after a failed attempt of the first", check.RuleOrder, func(h *history.History) {
			h.Arrivals[1].Outcome = history.OutcomeFailed
			again := done("o1", "ordered", "k", 7.5)
			h.Arrivals = append(h.Arrivals, again)
		}},
		{"a success is repeated", check.RuleTwice, func(h *history.History) {
			again := done("p1", "plain", "", 6)
			h.Arrivals = append(h.Arrivals, again)
		}},
		{"a service gets more than its rate", check.RuleRateLimit, func(h *history.History) {
			for range 20 {
				over := done("p1", "plain", "", 5.01)
				over.Outcome, over.Status = history.OutcomeNotRun, http.StatusTooManyRequests
				h.Arrivals = append(h.Arrivals, over)
			}
		}},
		{"done without a signature", check.RuleMixed, func(h *history.History) { h.Readings[0].Signature = "" }},
		{"done with another's signature", check.RuleMixed, func(h *history.History) { h.Readings[0].Signature = "s-o1" }},
		{"a body comes back with other bytes", check.RuleMixed, func(h *history.History) {
			h.Sends = append(h.Sends, sent("held", "plain", "", 8))
			h.Readings = append(h.Readings, history.Reading{RequestID: "held", At: at(20), StateStatus: 200, State: protocol.StatePending, BodyStatus: 200, Body: 8})
		}},
		{"an unknown state", check.RuleMixed, func(h *history.History) { h.Readings[0].State = "running" }},
		{"a refused message runs", check.RuleRefused, func(h *history.History) { h.Sends[0].Status = http.StatusServiceUnavailable }},
		{"a timed out message runs", check.RuleRefused, func(h *history.History) { h.Sends[0].Status = http.StatusRequestTimeout }},
		{"a run that nobody sent", check.RuleUnasked, func(h *history.History) {
			h.Arrivals = append(h.Arrivals, done("smuggled", "plain", "", 9))
		}},
		{"a run with another body", check.RuleUnasked, func(h *history.History) { h.Arrivals[0].Body = 8 }},
		{"a run with another query", check.RuleUnasked, func(h *history.History) { h.Arrivals[0].Target += "?more" }},
		{"a run with another key", check.RuleUnasked, func(h *history.History) { h.Arrivals[1].Key = "other" }},
		{"a worker that left gets a request", check.RuleDrain, func(h *history.History) {
			h.Drains = []history.Drain{{Worker: "w1", Shown: at(4.05)}}
		}},
		{"two changes on one version", check.RuleConfig, func(h *history.History) {
			for _, version := range []uint64{3, 4} {
				h.Orders = append(h.Orders, history.Order{Base: 1, Config: configured(version), Status: 200, Sent: at(1), Answered: at(1.1)})
			}
		}},
		{"404 though the route is there", check.RuleConfig, func(h *history.History) {
			missing := sent("missing", "plain", "", 9)
			missing.Status = http.StatusNotFound
			h.Sends = append(h.Sends, missing)
		}},
		{"a run before the delay is over", check.RuleEarly, func(h *history.History) { h.Sends[0].Delay = second }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := kept()
			c.spoil(h)
			found := check.All(h, check.DefaultBounds())
			require.NotEmpty(t, found)
			for _, finding := range found {
				assert.Equal(t, c.rule, finding.Rule, finding)
			}
		})
	}
}

func TestDeadLetterMustHaveEnded(t *testing.T) {
	h := kept()
	h.Sends = append(h.Sends, sent("dead", "plain", "", 8))
	h.Readings = append(h.Readings, history.Reading{RequestID: "dead", At: at(20), StateStatus: 200, State: protocol.StateDead})
	assert.Len(t, check.Mixed(h), 1)
	assert.Len(t, check.Lost(h), 1)

	for i := range 3 { // as many failures as the route allows end it
		failed := done("dead", "plain", "", 8.1+float64(i))
		failed.Outcome, failed.Status, failed.Signature = history.OutcomeFailed, http.StatusInternalServerError, ""
		h.Arrivals = append(h.Arrivals, failed)
	}
	assert.Empty(t, check.Mixed(h))
	assert.Empty(t, check.Lost(h))
}

func TestSuccessNearAFaultOrItsTimeoutMayBeRepeated(t *testing.T) {
	again := done("p1", "plain", "", 9)

	h := kept()
	h.Arrivals = append(h.Arrivals, again)
	h.Faults = []history.Fault{{What: "kill", At: at(5.2), Until: at(6)}}
	assert.Empty(t, check.Twice(h, check.DefaultBounds()))

	h.Faults[0].Planned = true
	assert.Len(t, check.Twice(h, check.DefaultBounds()), 1)

	h = kept()
	h.Arrivals[0].End, h.Arrivals[0].Written = at(6.08), at(6.08)
	h.Arrivals = append(h.Arrivals, again)
	assert.Empty(t, check.Twice(h, check.DefaultBounds()))

	h = kept()
	h.Arrivals[0].Answered = false
	h.Arrivals = append(h.Arrivals, again)
	assert.Empty(t, check.Twice(h, check.DefaultBounds()))
	assert.Equal(t, 1, check.Summarize(h).Duplicates)
}

func TestOrderBindsOnlyWhatWasAcceptedBefore(t *testing.T) {
	h := kept()
	h.Sends[2].Sent = at(6.02) // sent before the first was accepted
	h.Arrivals[2].Start = at(6.1)
	assert.Empty(t, check.Order(h))

	h = kept()
	h.Sends[1].Status = 0 // never known as accepted
	h.Arrivals[1].End = at(9)
	assert.Empty(t, check.Order(h))
}

// dropped is a configuration without the plain route.
func dropped(version uint64) protocol.Config {
	config := configured(version)
	config.Routes = config.Routes[1:]
	return config
}

func TestDroppedRoute(t *testing.T) {
	order := history.Order{Base: 1, Config: dropped(2), Status: http.StatusOK, Sent: at(9.8), Answered: at(10)}
	accepted := sent("late", "plain", "", 13.1)

	t.Run("accepted later than the bound", func(t *testing.T) {
		h := kept()
		h.Orders = append(h.Orders, order)
		h.Sends = append(h.Sends, accepted)
		found := check.Config(h, check.DefaultBounds())
		require.Len(t, found, 1)
		assert.Equal(t, "late", found[0].Subject)
	})
	t.Run("accepted within the bound", func(t *testing.T) {
		h := kept()
		h.Orders = append(h.Orders, order)
		early := accepted
		early.Sent = at(12.9)
		h.Sends = append(h.Sends, early)
		assert.Empty(t, check.Config(h, check.DefaultBounds()))
		assert.Empty(t, check.Lost(h), "dropping the route ended it")
	})
	t.Run("run later than the bound", func(t *testing.T) {
		h := kept()
		h.Orders = append(h.Orders, order)
		unknown := accepted
		unknown.Status = 0
		h.Sends = append(h.Sends, unknown)
		h.Arrivals = append(h.Arrivals, done("late", "plain", "", 13.2))
		assert.Len(t, check.Config(h, check.DefaultBounds()), 1)
	})
	t.Run("the order got no clear answer", func(t *testing.T) {
		h := kept()
		unclear := order
		unclear.Status = 0
		h.Orders = append(h.Orders, unclear)
		h.Sends = append(h.Sends, accepted)
		assert.Empty(t, check.Config(h, check.DefaultBounds()))
	})
	t.Run("the order was refused", func(t *testing.T) {
		h := kept()
		refused := order
		refused.Status = http.StatusPreconditionFailed
		h.Orders = append(h.Orders, refused)
		missing := accepted
		missing.Status = http.StatusNotFound
		h.Sends = append(h.Sends, missing)
		assert.Len(t, check.Config(h, check.DefaultBounds()), 1)
	})
	t.Run("the route came back", func(t *testing.T) {
		h := kept()
		h.Orders = append(h.Orders, order, history.Order{Base: 2, Config: configured(3), Status: http.StatusOK, Sent: at(11), Answered: at(11.1)})
		h.Sends = append(h.Sends, sent("back", "plain", "", 15))
		assert.Empty(t, check.Config(h, check.DefaultBounds()))
		assert.Len(t, check.Lost(h), 1, "a route that is there again loses nothing")
	})
}

func TestTruncatedRequests(t *testing.T) {
	h := kept()
	cut := sent("cut", "plain", "", 9)
	cut.Status, cut.Answered = 0, at(9.1)
	h.Sends = append(h.Sends, cut)
	assert.Empty(t, check.Truncated(h, check.DefaultBounds()), "a connection may close under a request that was not read")

	h.Arrivals = append(h.Arrivals, done("cut", "plain", "", 9.05))
	assert.Len(t, check.Truncated(h, check.DefaultBounds()), 1, "but not under one that runs")

	h.Arrivals = h.Arrivals[:3]
	h.Sends[3].Answered = at(9.3)
	assert.Len(t, check.Truncated(h, check.DefaultBounds()), 1, "nor late")

	h.Faults = []history.Fault{{What: "stop", At: at(8), Until: at(10), Planned: true}}
	assert.Len(t, check.Truncated(h, check.DefaultBounds()), 1, "round planned work either")

	h.Faults[0].Planned = false
	assert.Empty(t, check.Truncated(h, check.DefaultBounds()))
}

func TestRouteOfARun(t *testing.T) {
	h := kept()
	h.Arrivals[0].Service = "other"
	found := check.Route(h)
	require.Len(t, found, 1)
	assert.Equal(t, "p1", found[0].Subject)
}

func TestRateLimitsCountInSlidingWindows(t *testing.T) {
	h := kept()
	h.Arrivals = nil
	for i := range 9 { // astride two windows that begin at whole multiples
		h.Arrivals = append(h.Arrivals, done("p1", "plain", "", 4+float64(i)*0.1), done("p1", "plain", "", 5.1+float64(i)*0.1))
	}
	assert.Len(t, check.RateLimits(h, check.DefaultBounds()), 1)
	h.Arrivals = h.Arrivals[:16]
	assert.Empty(t, check.RateLimits(h, check.DefaultBounds()))
}

func TestDrainAllowsHealthAndWrongInstance(t *testing.T) {
	h := kept()
	h.Drains = []history.Drain{{Worker: "w1", Shown: at(1)}}
	for i := range h.Arrivals {
		h.Arrivals[i].Status = http.StatusMisdirectedRequest
	}
	assert.Empty(t, check.Drain(h, check.DefaultBounds()))
	h.Arrivals[0].Status = http.StatusOK
	assert.Len(t, check.Drain(h, check.DefaultBounds()), 1)
}

func TestTimelineIsInOrder(t *testing.T) {
	h := kept()
	h.Faults = []history.Fault{{What: "kill", Machine: "m", At: at(5.02), Until: at(6)}}
	lines := check.Timeline(h, "p1")
	require.Len(t, lines, 7)
	assert.Contains(t, lines[0], "5s sent")
	assert.Contains(t, lines[1], "kill of m")
	assert.Contains(t, lines[2], "answered 202")
	assert.Contains(t, lines[6], "read as 200")
}

func TestSummary(t *testing.T) {
	h := kept()
	refused := sent("refused", "plain", "", 9)
	refused.Status = http.StatusServiceUnavailable
	unanswered := sent("unanswered", "plain", "", 9)
	unanswered.Status = 0
	h.Sends = append(h.Sends, refused, unanswered)
	summary := check.Summarize(h)
	assert.Equal(t, 5, summary.Sent)
	assert.Equal(t, 3, summary.Accepted)
	assert.Equal(t, 3, summary.Finished)
	assert.Equal(t, 1, summary.Promised)
	assert.Equal(t, 1, summary.Unanswered)
	assert.Equal(t, 50*time.Millisecond, summary.AcceptP50.Round(time.Millisecond))
	assert.Equal(t, 100*time.Millisecond, summary.StartP99.Round(time.Millisecond))
}

func TestDrainBoundIsLongerOnlyBesideAFault(t *testing.T) {
	bounds := check.DefaultBounds()
	bounds.Failover = 2 * time.Second
	h := kept()
	h.Drains = []history.Drain{{Worker: "w1", Shown: at(1)}}
	h.Arrivals = h.Arrivals[:1]
	h.Arrivals[0].Arrived = at(5)
	assert.Len(t, check.Drain(h, bounds), 1)
	h.Faults = []history.Fault{{Machine: "m", At: at(0.5), Until: at(0.9)}}
	assert.Len(t, check.Drain(h, bounds), 1, "longer ago than a trouble counts")
	h.Faults[0].Until = at(1.1)
	assert.Empty(t, check.Drain(h, bounds))
	h.Arrivals[0].Arrived = at(6.1)
	h.Faults[0].Until = at(6)
	assert.Len(t, check.Drain(h, bounds), 1, "past the longer bound")
}
