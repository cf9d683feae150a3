package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

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
	s := ravendale.Settings{
		Dispatchers:      get.int("balancers"),
		Me:               get.int("me"),
		Zones:            len(names.zones),
		Zone:             index(names.zones, []byte(c["locality"])),
		MaxAttempts:      get.int("ceilings.attempts-cap"),
		MayHedge:         get.bool("ceilings.may-duplicate"),
		MayCancel:        get.bool("ceilings.may-cancel"),
		MayProbe:         get.bool("ceilings.probes"),
		MayNotifyPeers:   get.bool("ceilings.peers"),
		RetryAfter:       get.bool("ceilings.retry-after"),
		MaxRetryAfter:    get.time("ceilings.max-retry-after-us"),
		MustAsk:          c["discovery"] == "ask",
		AskWithin:        get.time("rules.ask-every-us"),
		LiveWeights:      c["weight-source"] == "live",
		AnswerSlack:      get.time("rules.grace-to-answer-us"),
		DrainTimeout:     get.time("rules.stop-sending-within-us"),
		SlowStartFrom:    get.float("rules.cold-from"),
		SlowStartFor:     get.time("rules.cold-us"),
		OverloadMultiple: get.float("rules.fall-multiple"),
		OverloadSpan:     get.time("rules.fall-us"),
		TellsStart:       get.bool("specifics.tells-start"),
		Progress:         get.time("specifics.progress-us"),
		Tick:             get.time("tick-us"),
		ValuePerJob:      c["worth-by"] == "request",
		OverShareValue:   get.float("over-share-worth"),
		Prices: ravendale.Prices{
			CrossZone:  get.float("tariffs.cross-zone"),
			Waste:      get.float("tariffs.waste"),
			Connection: get.float("tariffs.connection"),
			Handshake:  get.float("tariffs.handshake"),
			Probe:      get.float("tariffs.probe"),
			Peer:       get.float("tariffs.peer"),
			LateFail:   get.float("tariffs.late-fail"),
		},
	}
	switch c["report.how"] {
	case "inline":
		s.ReportsIn = ravendale.ReportsInAnswers
	case "on_probe":
		s.ReportsIn = ravendale.ReportsInProbes
	}
	s.Classes = get.classes()
	for i := range s.Classes {
		names.classes = append(names.classes, s.Classes[i].Name)
	}
	s.Tenants = get.tenants()
	for i := range s.Tenants {
		names.tenants = append(names.tenants, s.Tenants[i].Name)
	}
	return s, names, get.err
}

// classes are the classes of jobs.
func (g *getter) classes() (classes []ravendale.Class) {
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
		classes = append(classes, class)
	}
	return classes
}

// tenants are the projects that share the workers.
func (g *getter) tenants() (tenants []ravendale.Tenant) {
	for i := range g.count("projects.count") {
		at := fmt.Sprintf("projects.%d.", i)
		tenants = append(tenants, ravendale.Tenant{
			Name:  g.config[at+"name"],
			Share: g.float(at + "share"),
			Quota: g.float(at + "quota-per-s"),
		})
	}
	return tenants
}

// getter reads values of a config and keeps the first error. An absent value is zero.
type getter struct {
	config
	err error
}

func (g *getter) bad(path, what string) {
	if g.err == nil {
		g.err = fmt.Errorf("setting %s=%s is no %s", path, g.config[path], what)
	}
}

func (g *getter) int(path string) int {
	text, given := g.config[path]
	if !given {
		return 0
	}
	v, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		g.bad(path, "whole number in range")
	}
	return int(v)
}

// maxCount bounds the lists of a settings line: more is no real line but a broken one.
const maxCount = 10_000

func (g *getter) count(path string) int {
	n := g.int(path)
	if n < 0 || n > maxCount {
		g.bad(path, "sensible count")
		return 0
	}
	return n
}

func (g *getter) float(path string) float64 {
	text, given := g.config[path]
	if !given {
		return 0
	}
	v, ok := number(text)
	if !ok {
		g.bad(path, "number")
	}
	return v
}

func (g *getter) time(path string) time.Duration {
	text, given := g.config[path]
	if !given {
		return 0
	}
	v, ok := micros(text)
	if !ok {
		g.bad(path, "time in microseconds")
	}
	return v
}

func (g *getter) bool(path string) bool {
	switch g.config[path] {
	case "true", "1":
		return true
	case "", "false", "0":
		return false
	}
	g.bad(path, "true or false")
	return false
}

func (g *getter) list(path string) []string {
	text := g.config[path]
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// item reads one number of a list that has one for each class; a shorter list gives otherwise.
func (g *getter) item(list []string, i int, path string, otherwise float64) float64 {
	if i >= len(list) {
		return otherwise
	}
	v, ok := number(list[i])
	if !ok {
		g.bad(path, "list of numbers")
	}
	return v
}

func (g *getter) effect(at string) (ravendale.Effect, ravendale.Group) {
	effect, group := ravendale.Safe, ravendale.GroupAll
	switch g.config[at+"effect"] {
	case "idempotent":
	case "deduplicated":
		effect = ravendale.Keyed
	case "at_most_once":
		effect = ravendale.Unsafe
	default:
		g.bad(at+"effect", "known effect")
	}
	switch g.config[at+"group"] {
	case "", "all":
	case "zone":
		group = ravendale.GroupZone
	case "cell":
		group = ravendale.GroupCell
	default:
		g.bad(at+"group", "known group")
	}
	return effect, group
}

// micros reads a time; what would overflow is no time.
func micros(text string) (time.Duration, bool) {
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v > math.MaxInt64/1000 || v < math.MinInt64/1000 {
		return 0, false
	}
	return time.Duration(v) * time.Microsecond, true
}

// number reads a finite number.
func number(text string) (float64, bool) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, false
	}
	return v, true
}
