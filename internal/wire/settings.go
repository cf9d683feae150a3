package wire

import (
	"fmt"

	"ravendale"
)

// config holds the settings as received, by path.
type config map[string]string

// settings translates c into Settings, and returns the names that later lines refer to.
func (c config) settings() (ravendale.Settings, *nameTables, error) {
	get := getter{config: c}
	names := &nameTables{
		zones: get.list("dcs"),
		kinds: get.list("host-types"),
		x0:    c["specifics.report-x0"],
		x1:    c["specifics.report-x1"],
	}
	s := get.plainSettings()
	s.Zones, s.Zone = len(names.zones), indexOf(names.zones, []byte(c["locality"]))
	s.Prices = get.prices()
	s.Classes, names.classes = get.classes()
	s.Tenants, names.tenants = get.tenants()
	return s, names, get.err
}

// plainSettings reads the settings that depend on no other: numbers, times and permissions.
func (g *getter) plainSettings() ravendale.Settings {
	s := ravendale.Settings{
		Dispatchers:      g.int("balancers"),
		Me:               g.int("me"),
		MaxAttempts:      g.int("ceilings.attempts-cap"),
		MayHedge:         g.bool("ceilings.may-duplicate"),
		MayCancel:        g.bool("ceilings.may-cancel"),
		MayProbe:         g.bool("ceilings.probes"),
		MayNotifyPeers:   g.bool("ceilings.peers"),
		RetryAfter:       g.bool("ceilings.retry-after"),
		MaxRetryAfter:    g.duration("ceilings.max-retry-after-us"),
		MustAsk:          g.config["discovery"] == "ask",
		AskWithin:        g.duration("rules.ask-every-us"),
		LiveWeights:      g.config["weight-source"] == "live",
		AnswerSlack:      g.duration("rules.grace-to-answer-us"),
		DrainTimeout:     g.duration("rules.stop-sending-within-us"),
		SlowStartFrom:    g.float("rules.cold-from"),
		SlowStartFor:     g.duration("rules.cold-us"),
		OverloadMultiple: g.float("rules.fall-multiple"),
		OverloadSpan:     g.duration("rules.fall-us"),
		TellsStart:       g.bool("specifics.tells-start"),
		Progress:         g.duration("specifics.progress-us"),
		Tick:             g.duration("tick-us"),
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

// classes reads the classes and their names. Some values of a class come from separate lists with one item
// for each class.
func (g *getter) classes() (classes []ravendale.Class, names []string) {
	kinds := g.list("specifics.class-kind")
	stretches := g.list("specifics.class-stretch")
	priorities := g.list("specifics.class-priority")
	for i := range g.count("request-classes.count") {
		prefix := fmt.Sprintf("request-classes.%d.", i)
		stretch := g.listItem(stretches, i, "specifics.class-stretch", 0)
		if _, hasOwn := g.config[prefix+"aim-stretch"]; hasOwn {
			stretch = g.float(prefix + "aim-stretch")
		}
		class := ravendale.Class{
			Name:          g.config[prefix+"name"],
			LatencyTarget: g.duration(prefix + "aim-us"),
			Stretch:       stretch,
			Deadline:      g.duration(prefix + "give-up-us"),
			Window:        g.duration(prefix + "window-us"),
			Value:         g.float(prefix + "importance"),
			LateValue:     g.float(prefix + "late-worth"),
			Kind:          int(g.listItem(kinds, i, "specifics.class-kind", -1)),
			Priority:      int(g.listItem(priorities, i, "specifics.class-priority", 0)),
		}
		class.Effect, class.Group = g.effectAndGroup(prefix)
		classes, names = append(classes, class), append(names, class.Name)
	}
	return classes, names
}

// tenants reads the projects and their names.
func (g *getter) tenants() (tenants []ravendale.Tenant, names []string) {
	for i := range g.count("projects.count") {
		prefix := fmt.Sprintf("projects.%d.", i)
		tenant := ravendale.Tenant{Name: g.config[prefix+"name"], Share: g.float(prefix + "share"), Quota: g.float(prefix + "quota-per-s")}
		tenants, names = append(tenants, tenant), append(names, tenant.Name)
	}
	return tenants, names
}
