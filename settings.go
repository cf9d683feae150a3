package ravendale

import (
	"errors"
	"fmt"
	"time"
)

// Effect says what a second run of a job does.
type Effect uint8

// Effects of a second run.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // the workers of one Group discard duplicates inside Class.Window
	Unsafe               // must never run twice
)

// Group says which workers discard each other's duplicates of a Keyed job.
type Group uint8

// Groups of workers.
const (
	GroupAll  Group = iota // all workers
	GroupZone              // those of one zone
	GroupCell              // those of one cell
)

// Class describes a kind of job.
type Class struct {
	Name          string
	Effect        Effect
	Group         Group
	Window        time.Duration // for so long duplicates are discarded, from the first send that may have run
	LatencyTarget time.Duration `json:"Aim"` // an answer within LatencyTarget + Stretch x the job's work earns its full value
	Stretch       float64
	Deadline      time.Duration // what a client waits in all
	Value         float64       `json:"Worth"`     // of an answer within the latency target
	LateValue     float64       `json:"LateWorth"` // part of Value that an answer between latency target and deadline earns
	Kind          int           // the machine kind it needs, -1 for any
	Priority      int
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name  string
	Share float64
	Quota float64 // jobs a second over all dispatchers; 0 if unknown
}

// Prices are fractions of the result, each for one unit a job.
type Prices struct {
	CrossZone, Waste, Connection, Handshake, Probe, Peer, LateFail float64
}

// Settings is all that a dispatcher is given at its start.
type Settings struct {
	Dispatchers int // how many there are; Me is this one's number
	Me          int
	Zones       int // how many zones there are; Zone is this dispatcher's own, -1 if unknown
	Zone        int
	Classes     []Class
	Tenants     []Tenant
	Prices      Prices

	ValuePerJob    bool    // a job has the same value however long it runs
	OverShareValue float64 // the value of a job beyond its tenant's share, as a part of its class's

	MaxAttempts    int  // for one job
	MayHedge       bool // two attempts of a job may be in flight at once
	MayCancel      bool
	MayProbe       bool
	MayNotifyPeers bool // messages to other dispatchers are allowed

	RetryAfter    bool // clients are told when to come back
	MaxRetryAfter time.Duration

	MustAsk   bool          // the worker list comes only when asked for
	AskWithin time.Duration // a dispatcher that has not asked for so long counts as informed

	LiveWeights bool // listed weights fall with the jobs that a worker holds, whoever sent them

	AnswerSlack      time.Duration // a final answer may be so late
	DrainTimeout     time.Duration // nothing may go to a draining worker after it
	SlowStartFrom    float64       // a worker that starts has this part of its capacity or more,
	SlowStartFor     time.Duration // rising to all of it in this time,
	OverloadMultiple float64       // and fails if it is sent more than this multiple of what it can do
	OverloadSpan     time.Duration // for so long

	TellsStart bool // workers report when a job starts
	// WrittenCount: an attempt counts against MaxAttempts once its request may have reached the worker, so one whose
	// connection never came up is none. So the platform's protocol counts on sockets; the simulator counts every send.
	WrittenCount bool
	Progress     time.Duration // interval of progress notes, 0 for none
	ReportsIn    ReportMode
	Tick         time.Duration // events are delivered this coarsely
}

// ReportMode says where load reports come from.
type ReportMode uint8

// Where load reports come from.
const (
	NoReports        ReportMode = iota
	ReportsInAnswers            // beside each outcome
	ReportsInProbes             // in answers to probes alone
)

// Retune takes other settings for the jobs that come from now on. Those that are open keep the class and the attempts
// that they came with. Zones and tenants stay as they are; the owner sees to it that the new settings agree.
func (d *Dispatcher) Retune(s Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	if s.Zones != d.settings.Zones || len(s.Tenants) != len(d.settings.Tenants) {
		return errors.New("Settings has other zones or tenants")
	}
	d.apply(s)
	return nil
}

// apply puts settings in force. What was seen of a class stays with its name, but for the longest time that a client's attempt
// came with, which another deadline makes untrue. A job of a class that the settings don't name counts as of one that must
// never run twice.
func (d *Dispatcher) apply(s Settings) {
	s.Classes = append(s.Classes[:len(s.Classes):len(s.Classes)], Class{Effect: Unsafe, Kind: -1, LateValue: 1})
	for i := range s.Classes { // for so long a job may be sent again that may have run
		switch c := &s.Classes[i]; c.Effect {
		case Safe:
			c.Window = never / 2 // for good, and still a sum with a time is no overflow
		case Unsafe:
			c.Window = 0
		}
	}
	stats := make([]*classStats, len(s.Classes))
	for i, c := range s.Classes {
		stats[i] = &classStats{least: pendingRetry}
		for j, was := range d.settings.Classes {
			if was.Name == c.Name {
				*stats[i] = *d.stats[j]
				if was.Deadline != c.Deadline {
					stats[i].longest = 0
				}
			}
		}
	}
	if !s.RetryAfter {
		s.MaxRetryAfter = 0 // clients are not told
	}
	d.settings, d.stats = s, stats
}

// LongestDeadline is the longest that any client waits.
func (s *Settings) LongestDeadline() (longest time.Duration) {
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// Validate names the first setting that makes no sense.
func (s *Settings) Validate() error {
	if len(s.Classes) == 0 {
		return errors.New("Settings.Classes is empty")
	}
	for i, c := range s.Classes {
		if c.LatencyTarget < 0 || c.Deadline < 0 || c.Window < 0 || c.Stretch < 0 {
			return fmt.Errorf("Settings.Classes[%d] (%s) has a negative time", i, c.Name)
		}
	}
	switch {
	case s.Dispatchers < 1:
		return errors.New("Settings.Dispatchers is below 1")
	case s.Me < 0 || s.Me >= s.Dispatchers:
		return errors.New("Settings.Me is no index below Settings.Dispatchers")
	case s.Zones < 0 || s.Zone >= s.Zones && s.Zones > 0:
		return errors.New("Settings.Zone is no index below Settings.Zones")
	case s.MaxAttempts < 1:
		return errors.New("Settings.MaxAttempts is below 1")
	case s.Tick < 0 || s.AnswerSlack < 0 || s.DrainTimeout < 0 || s.SlowStartFor < 0 || s.OverloadSpan < 0:
		return errors.New("Settings has a negative time")
	case s.SlowStartFrom < 0 || s.SlowStartFrom > 1:
		return errors.New("Settings.SlowStartFrom is not between 0 and 1")
	}
	return nil
}
