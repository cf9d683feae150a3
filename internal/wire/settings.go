package wire

import (
	"fmt"

	"ravendale"
)

// config is the settings as they came: path to value.
type config map[string]string

// settings translates config, and returns the names that later lines use.
func (c config) settings() (ravendale.Settings, *tables, error) {
	get := getter{config: c}
	names := &tables{
		zones: get.list("dcs"),
		kinds: get.list("host-types"),
		x0:    c["specifics.report-x0"],
		x1:    c["specifics.report-x1"],
	}
	s := get.limits()
	s.Zones, s.Zone = len(names.zones), index(names.zones, []byte(c["locality"]))
	s.Prices = get.prices()
	s.Classes, names.classes = get.classes()
	s.Tenants, names.tenants = get.tenants()
	return s, names, get.err
}

// limits reads what stands for itself: numbers, times and permissions.
func (g *getter) limits() ravendale.Settings {
	s := ravendale.Settings{
		Dispatchers:      g.int("balancers"),
		Me:               g.int("me"),
		MaxAttempts:      g.int("ceilings.attempts-cap"),
		MayHedge:         g.bool("ceilings.may-duplicate"),
		MayCancel:        g.bool("ceilings.may-cancel"),
		MayProbe:         g.bool("ceilings.probes"),
		MayNotifyPeers:   g.bool("ceilings.peers"),
		RetryAfter:       g.bool("ceilings.retry-after"),
		MaxRetryAfter:    g.time("ceilings.max-retry-after-us"),
		MustAsk:          g.config["discovery"] == "ask",
		AskWithin:        g.time("rules.ask-every-us"),
		LiveWeights:      g.config["weight-source"] == "live",
		AnswerSlack:      g.time("rules.grace-to-answer-us"),
		DrainTimeout:     g.time("rules.stop-sending-within-us"),
		SlowStartFrom:    g.float("rules.cold-from"),
		SlowStartFor:     g.time("rules.cold-us"),
		OverloadMultiple: g.float("rules.fall-multiple"),
		OverloadSpan:     g.time("rules.fall-us"),
		TellsStart:       g.bool("specifics.tells-start"),
		Progress:         g.time("specifics.progress-us"),
		Tick:             g.time("tick-us"),
		ValuePerJob:      g.config["worth-by"] == "request",
		OverShareValue:   g.float("over-share-worth"),
	}
	switch g.config["report.how"] {
	case "inline":
		s.ReportsIn = ravendale.ReportsInAnswers
	case "on_probe":
		s.ReportsIn = ravendale.ReportsInProbes
	}
	return s
}

func (g *getter) prices() ravendale.Prices {
	return ravendale.Prices{
		CrossZone:  g.float("tariffs.cross-zone"),
		Waste:      g.float("tariffs.waste"),
		Connection: g.float("tariffs.connection"),
		Handshake:  g.float("tariffs.handshake"),
		Probe:      g.float("tariffs.probe"),
		Peer:       g.float("tariffs.peer"),
		LateFail:   g.float("tariffs.late-fail"),
	}
}

// classes reads the classes and their names. Some of their values stand in lists beside them, one for each class.
func (g *getter) classes() (classes []ravendale.Class, names []string) {
	kinds := g.list("specifics.class-kind")
	stretches := g.list("specifics.class-stretch")
	priorities := g.list("specifics.class-priority")
	for i := range g.count("request-classes.count") {
		at := fmt.Sprintf("request-classes.%d.", i)
		stretch := g.item(stretches, i, "specifics.class-stretch", 0)
		if _, own := g.config[at+"aim-stretch"]; own {
			stretch = g.float(at + "aim-stretch")
		}
		class := ravendale.Class{
			Name:          g.config[at+"name"],
			LatencyTarget: g.time(at + "aim-us"),
			Stretch:       stretch,
			Deadline:      g.time(at + "give-up-us"),
			Window:        g.time(at + "window-us"),
			Value:         g.float(at + "importance"),
			LateValue:     g.float(at + "late-worth"),
			Kind:          int(g.item(kinds, i, "specifics.class-kind", -1)),
			Priority:      int(g.item(priorities, i, "specifics.class-priority", 0)),
		}
		class.Effect, class.Group = g.effect(at)
		classes, names = append(classes, class), append(names, class.Name)
	}
	return classes, names
}

// tenants reads the projects and their names.
func (g *getter) tenants() (tenants []ravendale.Tenant, names []string) {
	for i := range g.count("projects.count") {
		at := fmt.Sprintf("projects.%d.", i)
		tenant := ravendale.Tenant{Name: g.config[at+"name"], Share: g.float(at + "share"), Quota: g.float(at + "quota-per-s")}
		tenants, names = append(tenants, tenant), append(names, tenant.Name)
	}
	return tenants, names
}
