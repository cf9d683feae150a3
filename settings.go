package ravendale

import (
	"errors"
	"fmt"
	"time"
)

// Effect says whether a job may run a second time.
type Effect uint8

// Effects of a second run of a job.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // the workers of one Group discard duplicates within Class.Window
	Unsafe               // must never run twice
)

// Group says which workers discard each other's duplicates of a Keyed job.
type Group uint8

// Groups of workers.
const (
	GroupAll  Group = iota // all workers
	GroupZone              // the workers of one zone
	GroupCell              // the workers of one cell
)

// Class describes a kind of job.
type Class struct {
	Name          string
	Effect        Effect
	Group         Group
	Window        time.Duration // time for which duplicates are discarded, from the first send that may have run
	LatencyTarget time.Duration `json:"Aim"` // an answer within LatencyTarget + Stretch x the job's work earns its full value
	Stretch       float64
	Deadline      time.Duration // how long a client waits in total
	Value         float64       `json:"Worth"`     // value of an answer within the latency target
	LateValue     float64       `json:"LateWorth"` // fraction of Value that an answer between latency target and deadline earns
	Kind          int           // the kind of machine that it needs, -1 for any
	Priority      int
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name  string
	Share float64
	Quota float64 // jobs a second over all dispatchers; 0 if unknown
}

// Prices are costs as fractions of the result, each for one unit per job.
type Prices struct {
	CrossZone, Waste, Connection, Handshake, Probe, Peer, LateFail float64
}

// Settings are the settings of a Dispatcher.
type Settings struct {
	Dispatchers int // number of dispatchers; Me is the index of this one
	Me          int
	Zones       int // number of zones; Zone is the index of this dispatcher's own zone, -1 if unknown
	Zone        int
	Classes     []Class
	Tenants     []Tenant
	Prices      Prices

	ValuePerJob    bool    // the value of a job does not depend on how long it runs
	OverShareValue float64 // value of a job beyond its tenant's share, as a fraction of the value of its class

	MaxAttempts    int  // attempts for one job
	MayHedge       bool // two attempts of a job may be in flight at once
	MayCancel      bool
	MayProbe       bool
	MayNotifyPeers bool // messages to other dispatchers are allowed

	RetryAfter    bool // refused clients are told when to retry
	MaxRetryAfter time.Duration

	MustAsk   bool          // the list of workers is sent only on request
	AskWithin time.Duration // a dispatcher that has not requested the list for this long is assumed to have it

	LiveWeights bool // the listed weight of a worker decreases with the jobs that it holds, from any dispatcher

	AnswerSlack      time.Duration // how late a final answer may be
	DrainTimeout     time.Duration // how long jobs may still be sent to a worker that began to drain
	SlowStartFrom    float64       // a worker that starts has at least this fraction of its capacity,
	SlowStartFor     time.Duration // which rises to all of it within this time,
	OverloadMultiple float64       // and it fails if it is sent more than this multiple of its capacity
	OverloadSpan     time.Duration // for this long

	TellsStart bool // workers report when a job starts
	// WrittenCount means that an attempt counts against MaxAttempts only once its request may have reached the worker, so an
	// attempt whose connection was never established doesn't count. The platform's protocol counts this way on sockets; the
	// simulator counts every send.
	WrittenCount bool
	Progress     time.Duration // interval of progress notes, 0 for none
	ReportsIn    ReportMode
	Tick         time.Duration // granularity of the times at which events are delivered
}

// ReportMode says how workers report their load.
type ReportMode uint8

// Ways in which workers report their load.
const (
	NoReports        ReportMode = iota
	ReportsInAnswers            // with each outcome
	ReportsInProbes             // only in answers to probes
)

// UpdateSettings replaces the settings for jobs that arrive from now on. Open jobs keep the class and the maximum number of
// attempts that they arrived with. Zones and tenants must not change: UpdateSettings checks their number, the owner must
// check the rest.
func (d *Dispatcher) UpdateSettings(s Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	if s.Zones != d.settings.Zones || len(s.Tenants) != len(d.settings.Tenants) {
		return errors.New("Settings has other zones or tenants")
	}
	d.apply(s)
	return nil
}

// apply puts settings into force. The statistics of a class stay with the name of the class, except maxTimeLeft, which
// starts anew if the deadline of the class has changed. The class that apply appends is for jobs whose class isn't in the
// settings: they must never run twice.
func (d *Dispatcher) apply(s Settings) {
	s.Classes = append(s.Classes[:len(s.Classes):len(s.Classes)], Class{Effect: Unsafe, Kind: -1, LateValue: 1})
	for i := range s.Classes { // Window is how long a job that may have run may be sent again
		switch c := &s.Classes[i]; c.Effect {
		case Safe:
			c.Window = never / 2 // unlimited, but small enough to be added to a time without overflow
		case Unsafe:
			c.Window = 0
		}
	}
	stats := make([]*classStats, len(s.Classes))
	for i, c := range s.Classes {
		stats[i] = &classStats{minRun: pendingRetryInterval}
		for j, previous := range d.settings.Classes {
			if previous.Name == c.Name {
				*stats[i] = *d.stats[j]
				if previous.Deadline != c.Deadline {
					stats[i].maxTimeLeft = 0
				}
			}
		}
	}
	if !s.RetryAfter {
		s.MaxRetryAfter = 0 // clients are not told when to retry
	}
	d.settings, d.stats = s, stats
}

// LongestDeadline returns the longest deadline of any class.
func (s *Settings) LongestDeadline() (longest time.Duration) {
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// Validate returns an error that names the first invalid setting, or nil if all are valid.
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
