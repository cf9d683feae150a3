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

func atSeconds(figure float64) time.Duration { return time.Duration(figure * float64(second)) }

// configuration returns a configuration with two routes, one of them ordered.
func configuration(version uint64) protocol.Config {
	return protocol.Config{
		Version: version,
		Routes: []protocol.Route{
			{Name: "plain", Host: "a.example", PathPrefix: "/plain/", Service: "work", Retries: 3, TimeoutMs: 1000, RetentionS: 90},
			{Name: "ordered", Host: "a.example", PathPrefix: "/ordered/", Service: "work", Retries: 3, TimeoutMs: 1000, RetentionS: 90, Ordered: true},
		},
		Services: []protocol.Service{{Name: "work", RatePerS: 2}},
	}
}

// validHistory returns a history that violates no rule.
func validHistory() *history.History {
	return &history.History{
		Orders: []history.Order{{Config: configuration(1), Status: http.StatusOK, Sent: atSeconds(0.1), Answered: atSeconds(0.2)}},
		Sends: []history.Send{
			sent("p1", "plain", "", 5),
			sent("o1", "ordered", "k", 6),
			sent("o2", "ordered", "k", 7),
		},
		Arrivals: []history.Arrival{done("p1", "plain", "", 5.1), done("o1", "ordered", "k", 6.1), done("o2", "ordered", "k", 7.1)},
		Readings: []history.Reading{
			{RequestID: "p1", At: atSeconds(20), StateStatus: http.StatusOK, State: protocol.StateDone, Signature: "s-p1"},
			{RequestID: "o1", At: atSeconds(20), StateStatus: http.StatusOK, State: protocol.StateDone, Signature: "s-o1"},
		},
	}
}

func sent(id, route, key string, when float64) history.Send {
	return history.Send{
		RequestID: id, MessageID: id, Route: route, Method: "POST", Host: "a.example", Target: "/" + route + "/x", Key: key, Body: 7,
		Sent: atSeconds(when), Answered: atSeconds(when + 0.05), Status: http.StatusAccepted,
	}
}

func done(id, route, key string, when float64) history.Arrival {
	return history.Arrival{
		RequestID: id, Service: "work", Worker: "w1", Listed: true, Method: "POST", Host: "a.example", Target: "/" + route + "/x",
		Key: key, Body: 7, Arrived: atSeconds(when), Start: atSeconds(when), End: atSeconds(when + 0.2), Status: http.StatusOK,
		Outcome: history.OutcomeDone, Signature: "s-" + id, Answered: true, Written: atSeconds(when + 0.2),
	}
}

func TestValidHistory(t *testing.T) {
	assert.Empty(t, check.All(validHistory(), check.DefaultBounds()))
	assert.Empty(t, check.Undelivered(validHistory()))
}

// Each case violates one rule in a history that is valid otherwise. Exactly that rule must be reported.
func TestViolations(t *testing.T) {
	cases := []struct {
		name    string
		rule    check.Rule
		violate func(h *history.History)
	}{
		{"an accepted message is lost", check.RuleLost, func(h *history.History) {
			h.Sends = append(h.Sends, sent("gone", "plain", "", 8))
		}},
		{"an accepted message's body is lost", check.RuleLost, func(h *history.History) {
			h.Sends = append(h.Sends, sent("gone", "plain", "", 8))
			h.Readings = append(h.Readings, history.Reading{RequestID: "gone", At: atSeconds(20), StateStatus: 200, State: protocol.StatePending, BodyStatus: 404})
		}},
		{"a run is interrupted and its message lost", check.RuleLost, func(h *history.History) {
			h.Sends = append(h.Sends, sent("gone", "plain", "", 8))
			run := done("gone", "plain", "", 8.1)
			run.Outcome, run.Signature = history.OutcomeDropped, ""
			h.Arrivals = append(h.Arrivals, run)
		}},
		{"the second of a key starts while the first runs", check.RuleOrder, func(h *history.History) {
			h.Arrivals[1].End = atSeconds(7.15)
			h.Arrivals[1].Written = atSeconds(7.15)
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
		{"a service gets more requests than its rate allows", check.RuleRateLimit, func(h *history.History) {
			for range 20 {
				over := done("p1", "plain", "", 5.01)
				over.Outcome, over.Status = history.OutcomeNotRun, http.StatusTooManyRequests
				h.Arrivals = append(h.Arrivals, over)
			}
		}},
		{"done without a signature", check.RuleMixed, func(h *history.History) { h.Readings[0].Signature = "" }},
		{"done with another message's signature", check.RuleMixed, func(h *history.History) { h.Readings[0].Signature = "s-o1" }},
		{"a different body is returned", check.RuleMixed, func(h *history.History) {
			h.Sends = append(h.Sends, sent("held", "plain", "", 8))
			h.Readings = append(h.Readings, history.Reading{RequestID: "held", At: atSeconds(20), StateStatus: 200, State: protocol.StatePending, BodyStatus: 200, Body: 8})
		}},
		{"an unknown state", check.RuleMixed, func(h *history.History) { h.Readings[0].State = "running" }},
		{"a refused message runs", check.RuleRefused, func(h *history.History) { h.Sends[0].Status = http.StatusServiceUnavailable }},
		{"a timed out message runs", check.RuleRefused, func(h *history.History) { h.Sends[0].Status = http.StatusRequestTimeout }},
		{"a run without a request", check.RuleUnasked, func(h *history.History) {
			h.Arrivals = append(h.Arrivals, done("smuggled", "plain", "", 9))
		}},
		{"a run with another body", check.RuleUnasked, func(h *history.History) { h.Arrivals[0].Body = 8 }},
		{"a run with another query", check.RuleUnasked, func(h *history.History) { h.Arrivals[0].Target += "?more" }},
		{"a run with another key", check.RuleUnasked, func(h *history.History) { h.Arrivals[1].Key = "other" }},
		{"a request reaches a worker listed as leaving", check.RuleDrain, func(h *history.History) {
			h.Drains = []history.Drain{{Worker: "w1", Shown: atSeconds(4.05)}}
		}},
		{"two changes on one version", check.RuleConfig, func(h *history.History) {
			for _, version := range []uint64{3, 4} {
				h.Orders = append(h.Orders, history.Order{Base: 1, Config: configuration(version), Status: 200, Sent: atSeconds(1), Answered: atSeconds(1.1)})
			}
		}},
		{"404 for an existing route", check.RuleConfig, func(h *history.History) {
			missing := sent("missing", "plain", "", 9)
			missing.Status = http.StatusNotFound
			h.Sends = append(h.Sends, missing)
		}},
		{"a run before the delay is over", check.RuleEarly, func(h *history.History) { h.Sends[0].Delay = second }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := validHistory()
			c.violate(h)
			found := check.All(h, check.DefaultBounds())
			require.NotEmpty(t, found)
			for _, finding := range found {
				assert.Equal(t, c.rule, finding.Rule, finding)
			}
		})
	}
}

func TestDeadLetter(t *testing.T) {
	h := validHistory()
	h.Sends = append(h.Sends, sent("dead", "plain", "", 8))
	h.Readings = append(h.Readings, history.Reading{RequestID: "dead", At: atSeconds(20), StateStatus: 200, State: protocol.StateDead})
	assert.Len(t, check.Mixed(h), 1)
	assert.Len(t, check.Lost(h), 1)

	for i := range 3 { // the message ends after as many failures as its route allows
		failed := done("dead", "plain", "", 8.1+float64(i))
		failed.Outcome, failed.Status, failed.Signature = history.OutcomeFailed, http.StatusInternalServerError, ""
		h.Arrivals = append(h.Arrivals, failed)
	}
	assert.Empty(t, check.Mixed(h))
	assert.Empty(t, check.Lost(h))
}

func TestRepeatedSuccess(t *testing.T) {
	again := done("p1", "plain", "", 9)

	h := validHistory()
	h.Arrivals = append(h.Arrivals, again)
	h.Faults = []history.Fault{{What: "kill", At: atSeconds(5.2), Until: atSeconds(6)}}
	assert.Empty(t, check.Twice(h, check.DefaultBounds()))

	h.Faults[0].Planned = true
	assert.Len(t, check.Twice(h, check.DefaultBounds()), 1)

	h = validHistory()
	h.Arrivals[0].End, h.Arrivals[0].Written = atSeconds(6.08), atSeconds(6.08)
	h.Arrivals = append(h.Arrivals, again)
	assert.Empty(t, check.Twice(h, check.DefaultBounds()))

	h = validHistory()
	h.Arrivals[0].Answered = false
	h.Arrivals = append(h.Arrivals, again)
	assert.Empty(t, check.Twice(h, check.DefaultBounds()))
	assert.Equal(t, 1, check.Summarize(h).Duplicates)
}

func TestOrderAppliesToEarlierAccepted(t *testing.T) {
	h := validHistory()
	h.Sends[2].Sent = atSeconds(6.02) // before the first was accepted
	h.Arrivals[2].Start = atSeconds(6.1)
	assert.Empty(t, check.Order(h))

	h = validHistory()
	h.Sends[1].Status = 0 // not known to be accepted
	h.Arrivals[1].End = atSeconds(9)
	assert.Empty(t, check.Order(h))
}

// withoutPlainRoute returns a configuration without the plain route.
func withoutPlainRoute(version uint64) protocol.Config {
	config := configuration(version)
	config.Routes = config.Routes[1:]
	return config
}

func TestDroppedRoute(t *testing.T) {
	order := history.Order{Base: 1, Config: withoutPlainRoute(2), Status: http.StatusOK, Sent: atSeconds(9.8), Answered: atSeconds(10)}
	accepted := sent("late", "plain", "", 13.1)

	t.Run("accepted later than the bound", func(t *testing.T) {
		h := validHistory()
		h.Orders = append(h.Orders, order)
		h.Sends = append(h.Sends, accepted)
		found := check.Config(h, check.DefaultBounds())
		require.Len(t, found, 1)
		assert.Equal(t, "late", found[0].Subject)
	})
	t.Run("accepted within the bound", func(t *testing.T) {
		h := validHistory()
		h.Orders = append(h.Orders, order)
		early := accepted
		early.Sent = atSeconds(12.9)
		h.Sends = append(h.Sends, early)
		assert.Empty(t, check.Config(h, check.DefaultBounds()))
		assert.Empty(t, check.Lost(h), "the message ended with the removal of its route")
	})
	t.Run("run later than the bound", func(t *testing.T) {
		h := validHistory()
		h.Orders = append(h.Orders, order)
		unknown := accepted
		unknown.Status = 0
		h.Sends = append(h.Sends, unknown)
		h.Arrivals = append(h.Arrivals, done("late", "plain", "", 13.2))
		assert.Len(t, check.Config(h, check.DefaultBounds()), 1)
	})
	t.Run("the order got no clear answer", func(t *testing.T) {
		h := validHistory()
		unclear := order
		unclear.Status = 0
		h.Orders = append(h.Orders, unclear)
		h.Sends = append(h.Sends, accepted)
		assert.Empty(t, check.Config(h, check.DefaultBounds()))
	})
	t.Run("the order was refused", func(t *testing.T) {
		h := validHistory()
		refused := order
		refused.Status = http.StatusPreconditionFailed
		h.Orders = append(h.Orders, refused)
		missing := accepted
		missing.Status = http.StatusNotFound
		h.Sends = append(h.Sends, missing)
		assert.Len(t, check.Config(h, check.DefaultBounds()), 1)
	})
	t.Run("the route came back", func(t *testing.T) {
		h := validHistory()
		h.Orders = append(h.Orders, order, history.Order{Base: 2, Config: configuration(3), Status: http.StatusOK, Sent: atSeconds(11), Answered: atSeconds(11.1)})
		h.Sends = append(h.Sends, sent("back", "plain", "", 15))
		assert.Empty(t, check.Config(h, check.DefaultBounds()))
		assert.Len(t, check.Lost(h), 1, "messages accepted after the route was restored must not be lost")
	})
}

func TestTruncatedRequests(t *testing.T) {
	h := validHistory()
	cut := sent("cut", "plain", "", 9)
	cut.Status, cut.Answered = 0, atSeconds(9.1)
	h.Sends = append(h.Sends, cut)
	assert.Empty(t, check.Truncated(h, check.DefaultBounds()), "a connection may close soon after a request that did not run")

	h.Arrivals = append(h.Arrivals, done("cut", "plain", "", 9.05))
	assert.Len(t, check.Truncated(h, check.DefaultBounds()), 1, "but not if the request runs")

	h.Arrivals = h.Arrivals[:3]
	h.Sends[3].Answered = atSeconds(9.3)
	assert.Len(t, check.Truncated(h, check.DefaultBounds()), 1, "nor long after the request")

	h.Faults = []history.Fault{{What: "stop", At: atSeconds(8), Until: atSeconds(10), Planned: true}}
	assert.Len(t, check.Truncated(h, check.DefaultBounds()), 1, "nor during planned work")

	h.Faults[0].Planned = false
	assert.Empty(t, check.Truncated(h, check.DefaultBounds()))
}

func TestRoute(t *testing.T) {
	h := validHistory()
	h.Arrivals[0].Service = "other"
	found := check.Route(h)
	require.Len(t, found, 1)
	assert.Equal(t, "p1", found[0].Subject)
}

func TestRateLimitsUseSlidingWindow(t *testing.T) {
	h := validHistory()
	h.Arrivals = nil
	for i := range 9 { // spread over two windows that begin at multiples of the window
		h.Arrivals = append(h.Arrivals, done("p1", "plain", "", 4+float64(i)*0.1), done("p1", "plain", "", 5.1+float64(i)*0.1))
	}
	assert.Len(t, check.RateLimits(h, check.DefaultBounds()), 1)
	h.Arrivals = h.Arrivals[:16]
	assert.Empty(t, check.RateLimits(h, check.DefaultBounds()))
}

func TestDrainAllowsMisdirectedRequests(t *testing.T) {
	h := validHistory()
	h.Drains = []history.Drain{{Worker: "w1", Shown: atSeconds(1)}}
	for i := range h.Arrivals {
		h.Arrivals[i].Status = http.StatusMisdirectedRequest
	}
	assert.Empty(t, check.Drain(h, check.DefaultBounds()))
	h.Arrivals[0].Status = http.StatusOK
	assert.Len(t, check.Drain(h, check.DefaultBounds()), 1)
}

func TestTimeline(t *testing.T) {
	h := validHistory()
	h.Faults = []history.Fault{{What: "kill", Machine: "m", At: atSeconds(5.02), Until: atSeconds(6)}}
	lines := check.Timeline(h, "p1")
	require.Len(t, lines, 7)
	assert.Contains(t, lines[0], "5s sent")
	assert.Contains(t, lines[1], "kill of m")
	assert.Contains(t, lines[2], "answered 202")
	assert.Contains(t, lines[6], "read as 200")
}

func TestSummary(t *testing.T) {
	h := validHistory()
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

func TestDrainFailoverBound(t *testing.T) {
	bounds := check.DefaultBounds()
	bounds.Failover = 2 * time.Second
	h := validHistory()
	h.Drains = []history.Drain{{Worker: "w1", Shown: atSeconds(1)}}
	h.Arrivals = h.Arrivals[:1]
	h.Arrivals[0].Arrived = atSeconds(5)
	assert.Len(t, check.Drain(h, bounds), 1)
	h.Faults = []history.Fault{{Machine: "m", At: atSeconds(0.5), Until: atSeconds(0.9)}}
	assert.Len(t, check.Drain(h, bounds), 1, "the fault ended more than Contact ago")
	h.Faults[0].Until = atSeconds(1.1)
	assert.Empty(t, check.Drain(h, bounds))
	h.Arrivals[0].Arrived = atSeconds(6.1)
	h.Faults[0].Until = atSeconds(6)
	assert.Len(t, check.Drain(h, bounds), 1, "later than the longer bound")
}
