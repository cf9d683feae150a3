package hollow

import (
	"context"
	"fmt"
	"log/slog"
	"os/exec"
	"runtime"
	"time"
)

// Times of an experiment.
const (
	restartWithin = 300 * time.Millisecond
	betweenChange = time.Second
)

// ExperimentConfig says what is played.
type ExperimentConfig struct {
	Fleet    FleetConfig
	Quiet    time.Duration // before anything is measured
	Rest     time.Duration // measured without changes
	Changes  int           // measured, a second apart
	Converge time.Duration // within which all must have a change
	Patience time.Duration // for all to be current after a start
	Leader   *exec.Cmd     // a program that calls ServeLeader, not yet started
}

// Phase is what a part of an experiment used.
type Phase struct {
	Lasted     time.Duration
	Schedulers Usage // of all together
	Leader     Usage
	Lists      uint64 // versions of the topic of members that came
}

// Result is what an experiment measured. Usage of schedulers is that of all of them in one process.
type Result struct {
	Schedulers, Zones, Depth, Relays int
	LoadBefore, LoadAfter            string // of the machine, over a minute
	Started                          time.Duration
	Rest, Changing                   Phase
	Changes                          []Spread // of each change, delays after the acknowledgement
	RelaysKilled                     int
	AfterKill                        Spread // of a change made right after half of the relays were killed
	Missing                          int    // who had not got it in time
	ZoneSize                         int
	ZoneBack                         time.Duration // until all are current, after a zone's schedulers restarted at once
	ZoneReturn                       Phase
	Breaches                         []string
}

// player plays one experiment.
type player struct {
	config ExperimentConfig
	log    *slog.Logger
	fleet  *fleet
	leader *remote
	result Result
}

// Play plays the experiment. What misses its bound is told in the result; the error is of what could not be measured.
func Play(config ExperimentConfig) (*Result, error) {
	f, err := newFleet(config.Fleet)
	if err != nil {
		return nil, err
	}
	leader, err := startRemote(config.Leader)
	if err != nil {
		return nil, err
	}
	p := &player{config: config, fleet: f, leader: leader, log: config.Fleet.Log}
	p.result = Result{Schedulers: config.Fleet.Schedulers, Zones: config.Fleet.Zones, LoadBefore: Load()}
	for _, step := range []func() error{p.start, p.rest, p.changes, p.killRelays, p.restartZone} {
		if err = step(); err != nil {
			break
		}
	}
	f.kill(f.numbers())
	_ = leader.close()
	p.result.LoadAfter = Load()
	return &p.result, err
}

func (p *player) breach(format string, arguments ...any) {
	p.result.Breaches = append(p.result.Breaches, fmt.Sprintf(format, arguments...))
}

func (p *player) start() error {
	began := time.Now()
	if err := p.fleet.start(p.fleet.numbers(), p.config.Fleet.Spread); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.config.Patience)
	defer cancel()
	if _, err := p.fleet.await(ctx); err != nil {
		return err
	}
	p.result.Started = time.Since(began)
	p.log.Info("all are current", "schedulers", len(p.fleet.alive), "after", p.result.Started)
	p.result.Depth = p.fleet.depth()
	p.result.Relays = len(p.fleet.relays())
	return nil
}

// measure tells what is used while f runs.
func (p *player) measure(f func() error) (Phase, error) {
	runtime.GC()
	leader, err := p.leader.usage()
	if err != nil {
		return Phase{}, err
	}
	schedulers, err := ReadUsage()
	if err != nil {
		return Phase{}, err
	}
	began, lists := time.Now(), p.fleet.lists()
	if err := f(); err != nil {
		return Phase{}, err
	}
	phase := Phase{Lasted: time.Since(began), Lists: p.fleet.lists() - lists}
	if phase.Schedulers, err = ReadUsage(); err != nil {
		return Phase{}, err
	}
	if phase.Leader, err = p.leader.usage(); err != nil {
		return Phase{}, err
	}
	phase.Schedulers = phase.Schedulers.Since(schedulers)
	phase.Leader = phase.Leader.Since(leader)
	return phase, nil
}

func (p *player) rest() (err error) {
	time.Sleep(p.config.Quiet)
	p.result.Rest, err = p.measure(func() error {
		time.Sleep(p.config.Rest)
		return nil
	})
	p.log.Info("rested")
	return err
}

func (p *player) changes() (err error) {
	var made []Change
	p.result.Changing, err = p.measure(func() error {
		for range p.config.Changes {
			change, err := p.leader.change()
			if err != nil {
				return err
			}
			made = append(made, change)
			time.Sleep(betweenChange)
		}
		return nil
	})
	for _, change := range made {
		p.result.Changes = append(p.result.Changes, p.delays(change))
	}
	p.log.Info("changed")
	return err
}

// delays waits for all to have a change, and tells who has not.
func (p *player) delays(change Change) Spread {
	ctx, cancel := context.WithDeadline(context.Background(), change.At.Add(p.config.Converge))
	defer cancel()
	if missing := p.fleet.awaitChange(ctx, change.Sequence); missing > 0 {
		p.breach("%d of %d lack change %d after %v", missing, len(p.fleet.alive), change.Sequence, p.config.Converge)
		p.result.Missing += missing
	}
	return spreadOf(p.fleet.arrivals.delays(change.Sequence, change.At))
}

func (p *player) killRelays() error {
	relays := p.fleet.relays()
	p.fleet.random.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	killed := relays[:len(relays)/2]
	p.fleet.kill(killed)
	change, err := p.leader.change()
	if err != nil {
		return err
	}
	p.result.RelaysKilled = len(killed)
	p.result.AfterKill = p.delays(change)
	p.log.Info("relays were killed", "count", len(killed), "last", p.result.AfterKill.Max)
	if err := p.fleet.start(killed, restartWithin); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.config.Patience)
	defer cancel()
	_, err = p.fleet.await(ctx)
	return err
}

// restartZone kills all schedulers of a zone, and starts them again at once, as new processes.
func (p *player) restartZone() (err error) {
	time.Sleep(p.config.Quiet)
	var numbers []int
	for _, number := range p.fleet.numbers() {
		if p.fleet.zone(number) == 0 {
			numbers = append(numbers, number)
		}
	}
	p.result.ZoneSize = len(numbers)
	p.result.ZoneReturn, err = p.measure(func() error {
		p.fleet.kill(numbers)
		began := time.Now()
		if err := p.fleet.start(numbers, restartWithin); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), p.config.Patience)
		defer cancel()
		_, err := p.fleet.await(ctx)
		p.result.ZoneBack = time.Since(began)
		return err
	})
	p.log.Info("a zone restarted", "schedulers", len(numbers), "back", p.result.ZoneBack)
	return err
}
