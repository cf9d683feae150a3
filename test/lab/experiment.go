package lab

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"ravendale/balancer/xmlfile"
	"ravendale/test/emulator"
)

// Experiment is the content of an experiment file.
type Experiment struct {
	Name     string    `xml:"name,attr" required:"true"`
	About    string    `xml:"about,attr"`
	Seed     uint64    `xml:"seed,attr"`
	Drivers  int       `xml:"drivers,attr"` // number of client processes
	Fleets   int       `xml:"fleets,attr"`  // number of node processes
	Rules    RulesXML  `xml:"rules" required:"true"`
	Nodes    []Nodes   `xml:"nodes" required:"true"`
	Classes  []Class   `xml:"class" required:"true"`
	Phases   []Phase   `xml:"phase" required:"true"`
	Variants []Variant `xml:"variant" required:"true"`
	Expect   []Expect  `xml:"expect"`

	shownFigures []string // figures to report; figureNames if nil
}

// RulesXML holds emulator.Rules as an experiment file gives them, and the scheduler's own rules for drains, discovery and
// attempts.
type RulesXML struct {
	SlowStartFrom float64       `xml:"cold-from,attr"`
	SlowStartFor  time.Duration `xml:"cold-for,attr"`
	FallMultiple  float64       `xml:"fall-multiple,attr"`
	FallSpan      time.Duration `xml:"fall-span,attr"`
	DownFor       time.Duration `xml:"down-for,attr"`
	Drain         time.Duration `xml:"drain-within,attr"`
	StopsRunning  bool          `xml:"cancel-stops,attr"`
	Falls         bool          `xml:"falls,attr"`     // an overloaded cold node goes down; otherwise the overload is only counted
	Discovery     string        `xml:"discovery,attr"` // how the scheduler receives node lists: "ask" (the default) or "push"
	Attempts      int           `xml:"attempts,attr"`  // maximum per job; 6 if not given
}

// Check implements xmlfile.Checker.
func (r *RulesXML) Check(bad func(string)) {
	if !slices.Contains([]string{"", "ask", "push"}, r.Discovery) {
		bad("discovery must be ask or push")
	}
	if r.Attempts < 0 {
		bad("attempts must be 1 or more, or 0 for the default")
	}
}

func (r *RulesXML) emulatorRules() emulator.Rules {
	return emulator.Rules{SlowStartFrom: r.SlowStartFrom, SlowStartFor: r.SlowStartFor, OverloadMultiple: r.FallMultiple, OverloadSpan: r.FallSpan,
		DownFor: r.DownFor, CancelStopsRunning: r.StopsRunning}
}

// Nodes describes a group of identical nodes.
type Nodes struct {
	Kind  string  `xml:"kind,attr" required:"true"`
	Count int     `xml:"count,attr" required:"true"`
	Speed float64 `xml:"speed,attr" required:"true"`
	Cores float64 `xml:"cores,attr" required:"true"`
	Slots float64 `xml:"slots,attr" required:"true"`
	Queue int     `xml:"queue,attr"`
	Site  string  `xml:"site,attr" required:"true"`
}

// Check implements xmlfile.Checker.
func (n *Nodes) Check(bad func(string)) {
	if n.Count < 1 || n.Count > 10000 || n.Speed <= 0 || n.Cores <= 0 || n.Slots < 1 {
		bad("count must be 1 to 10000, speed and cores above 0, and slots 1 or more")
	}
}

// Class is a class of jobs: how clients request it and how the scheduler is configured for it.
type Class struct {
	Name          string        `xml:"name,attr" required:"true"`
	Effect        string        `xml:"effect,attr" required:"true"` // idempotent, keyed or once
	Share         float64       `xml:"share,attr" required:"true"`
	Work          time.Duration `xml:"work,attr" required:"true"`
	Slots         float64       `xml:"slots,attr"`
	GiveUp        time.Duration `xml:"give-up,attr" required:"true"`
	LatencyTarget time.Duration `xml:"aim,attr" required:"true"`
	Stretch       float64       `xml:"stretch,attr"`
	Value         float64       `xml:"worth,attr"`
	Kind          string        `xml:"kind,attr"`   // the only kind of node that runs it; any kind if not given
	Window        time.Duration `xml:"window,attr"` // how long nodes drop duplicates of a keyed job; 7.5s if not given
	Late          float64       `xml:"late,attr"`   // the fraction of its value that a late answer earns
}

// Check implements xmlfile.Checker.
func (c *Class) Check(bad func(string)) {
	if !slices.Contains([]string{"idempotent", "keyed", "once"}, c.Effect) {
		bad("effect must be idempotent, keyed or once")
	}
	if c.Share <= 0 || c.Work <= 0 || c.GiveUp < time.Millisecond {
		bad("share and work must be above 0, and give-up 1ms or more")
	}
}

// Phase is one load profile, run against each variant.
type Phase struct {
	Name     string        `xml:"name,attr" required:"true"`
	Callers  int           `xml:"callers,attr"`
	Skew     int           `xml:"skew,attr"`
	Rate     float64       `xml:"rate,attr"`
	WarmUp   time.Duration `xml:"warm-up,attr"`
	For      time.Duration `xml:"for,attr" required:"true"`
	Short    time.Duration `xml:"short,attr"` // replaces For with --short
	Restarts []RestartXML  `xml:"restart"`
	Stalls   []StallXML    `xml:"stall"`
	Acts     []ActXML      `xml:"act"`
}

// Check implements xmlfile.Checker.
func (p *Phase) Check(bad func(string)) {
	if (p.Callers > 0) == (p.Rate > 0) {
		bad("exactly one of callers and rate must be above 0")
	}
}

// RestartXML drains and restarts every n-th node, one after the other.
type RestartXML struct {
	Every int           `xml:"every,attr" required:"true"` // 4: every fourth node
	At    time.Duration `xml:"at,attr" required:"true"`    // time of the first drain, from the start of the measurement
	Step  time.Duration `xml:"step,attr" required:"true"`  // from one drain to the next
	Drain time.Duration `xml:"drain,attr" required:"true"` // from the drain to the restart
}

// StallXML pauses the scheduler's process with SIGSTOP and resumes it with SIGCONT.
type StallXML struct {
	At  time.Duration `xml:"at,attr" required:"true"`
	For time.Duration `xml:"for,attr" required:"true"`
}

// ActXML is an operator's action.
type ActXML struct {
	At    time.Duration `xml:"at,attr" required:"true"`
	Do    string        `xml:"do,attr" required:"true"` // see actKinds
	Node  int           `xml:"node,attr"`               // number of the node, for 'hand'
	For   time.Duration `xml:"for,attr"`                // time until the action is undone
	Cores int           `xml:"cores,attr"`              // number of cores of the new version
}

// actKinds lists the actions: reload the configuration; turn clients away ("away"); detach a node by hand, restart it and
// attach it again ("hand"); replace the scheduler with a new version ("upgrade").
var actKinds = []string{"reload", "away", "hand", "upgrade"}

// Check implements xmlfile.Checker.
func (a *ActXML) Check(bad func(string)) {
	if !slices.Contains(actKinds, a.Do) {
		bad("do must be one of " + strings.Join(actKinds, ", "))
	}
	if a.Cores < 0 || a.Node < 0 || (a.Do == "hand" || a.Do == "away") && a.For <= 0 {
		bad("cores and node must be 0 or more, and for must be above 0 with hand and away")
	}
}

// Variant is one build and configuration of the scheduler.
type Variant struct {
	Name   string `xml:"name,attr" required:"true"`
	Cores  int    `xml:"cores,attr"`
	Binary string `xml:"binary,attr"` // replaces Runner.Binary
	GoGC   string `xml:"gogc,attr"`
}

// Expect is a bound on a figure.
type Expect struct {
	Figure  string  `xml:"figure,attr" required:"true"`
	Phase   string  `xml:"phase,attr"`   // all phases if empty
	Variant string  `xml:"variant,attr"` // all variants if empty
	Of      string  `xml:"of,attr"`      // if set, the bound is on the ratio to this variant's figure
	Most    float64 `xml:"most,attr"`
	Least   float64 `xml:"least,attr"`
	Aim     bool    `xml:"aim,attr"` // a missed aim is reported but is not a failure
	atMost  bool
}

// Check implements xmlfile.Checker.
func (e *Expect) Check(bad func(string)) {
	if !slices.Contains(figureNames, e.Figure) && !slices.Contains(fleetFigures, e.Figure) {
		bad("figure must be one of " + strings.Join(figureNames, ", ") + ", or for a fleet " + strings.Join(fleetFigures, ", "))
	}
	if e.atMost = e.Least == 0; e.Most != 0 && e.Least != 0 {
		bad("most and least exclude each other")
	}
}

// Check implements xmlfile.Checker.
func (x *Experiment) Check(bad func(string)) {
	names := make(map[string]bool)
	for _, v := range x.Variants {
		if names[v.Name] {
			bad("two variants are named " + v.Name)
		}
		names[v.Name] = true
	}
	phases := make(map[string]bool)
	for _, p := range x.Phases {
		phases[p.Name] = true
	}
	for _, e := range x.Expect {
		if e.Variant != "" && !names[e.Variant] || e.Of != "" && !names[e.Of] || e.Phase != "" && !phases[e.Phase] {
			bad(fmt.Sprintf("the expectation on %s names an unknown variant or phase", e.Figure))
		}
	}
}

// ParseExperiment reads an experiment file.
func ParseExperiment(file string, text []byte) (*Experiment, error) {
	x := &Experiment{Seed: 1, Drivers: 1, Fleets: 1, Rules: RulesXML{SlowStartFrom: 0.13, SlowStartFor: 24 * time.Second, FallMultiple: 3,
		FallSpan: 2 * time.Second, DownFor: 5 * time.Second, Drain: 750 * time.Millisecond}}
	if err := xmlfile.Read(file, text, "experiment", x); err != nil {
		return nil, err
	}
	x.Drivers, x.Fleets = max(x.Drivers, 1), max(x.Fleets, 1)
	return x, nil
}

// settings returns the scheduler's settings for the experiment, in the platform's format.
func (x *Experiment) settings(sites, kinds []string) map[string]any {
	var classes []map[string]any
	var kindOf []int
	var stretch []float64
	for _, c := range x.Classes {
		effect := map[string]string{"idempotent": "idempotent", "keyed": "deduplicated", "once": "at_most_once"}[c.Effect]
		class := map[string]any{"name": c.Name, "effect": effect, "aim-us": c.LatencyTarget.Microseconds(), "give-up-us": c.GiveUp.Microseconds(),
			"importance": max(c.Value, 1), "late-worth": c.Late}
		if c.Effect == "keyed" {
			class["window-us"], class["group"] = cmp.Or(c.Window, 7500*time.Millisecond).Microseconds(), "zone"
		}
		classes, kindOf, stretch = append(classes, class), append(kindOf, slices.Index(kinds, c.Kind)), append(stretch, c.Stretch)
	}
	r := &x.Rules
	return map[string]any{
		"balancers": 1, "me": 0, "dcs": sites, "locality": sites[0], "host-types": kinds, "discovery": cmp.Or(x.Rules.Discovery, "ask"),
		"ceilings": map[string]any{"attempts-cap": cmp.Or(x.Rules.Attempts, 6), "connect-timeout-us": 250000, "idle-close-us": 5000000, "may-cancel": true,
			"may-duplicate": true, "retry-after": true, "max-retry-after-us": 2000000},
		"rules": map[string]any{"ask-every-us": 10000000, "cold-from": r.SlowStartFrom, "cold-us": r.SlowStartFor.Microseconds(),
			"fall-multiple": r.FallMultiple, "fall-us": r.FallSpan.Microseconds(), "grace-to-answer-us": 8000,
			"stop-sending-within-us": r.Drain.Microseconds()},
		"specifics": map[string]any{"class-kind": kindOf, "class-stretch": stretch, "tells-start": true, "progress-us": 1000000},
		"tick-us":   2000, "request-classes": classes,
	}
}

// buildFleet names the nodes and returns for each its listen address and its entry in discovery's list. The node with number
// i listens at dial(i). Sites and kinds are listed once each, in the order of their first use.
func (x *Experiment) buildFleet(dial func(i int) string) (specs []NodeSpec, hosts []listedNode, sites, kinds []string) {
	for _, n := range x.Nodes {
		sites, kinds = appendUnique(sites, n.Site), appendUnique(kinds, n.Kind)
		kind := emulator.Kind{Name: n.Kind, Speed: n.Speed, Cores: n.Cores, Slots: n.Slots, Queue: n.Queue}
		for range n.Count {
			name, addr := fmt.Sprintf("s-%04d", len(specs)), dial(len(specs))
			specs = append(specs, NodeSpec{Name: name, Kind: kind, Listen: []string{addr}})
			hosts = append(hosts, listedNode{Host: name, Dial: addr, Site: n.Site, Class: n.Kind, Health: "in_service", Share: kind.Capacity()})
		}
	}
	return specs, hosts, sites, kinds
}

// atMostOnceClasses names the classes whose jobs must not run twice.
func (x *Experiment) atMostOnceClasses() (names []string) {
	for _, c := range x.Classes {
		if c.Effect == "once" {
			names = append(names, c.Name)
		}
	}
	return names
}

// requestClasses returns the classes as clients request them.
func (x *Experiment) requestClasses() (classes []ClassSpec) {
	for _, c := range x.Classes {
		classes = append(classes, ClassSpec{Name: c.Name, Share: c.Share, Work: c.Work, Slots: c.Slots, GiveUp: c.GiveUp,
			LatencyTarget: c.LatencyTarget + time.Duration(c.Stretch*float64(c.Work)), Keyed: c.Effect == "keyed"})
	}
	return classes
}
