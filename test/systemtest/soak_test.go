package systemtest

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/test/standin/client"
	"ravendale/test/standin/cluster"
	"ravendale/test/standin/operator"
	"ravendale/test/standin/protocol"
	"ravendale/test/standin/workers"
)

var (
	soakSeeds = flag.Int("soaks", 4, "soaks that are played, a seed each")
	soakFrom  = flag.Uint64("soakfrom", 1, "the first seed")
)

const (
	healBound    = 30 * time.Second       // until what a step took away is made up for
	listedFor    = 500 * time.Millisecond // a worker that has crashed is listed
	soakAccepted = 0.5                    // of the messages, however much is away
)

// Signals, restarts, lost disks, changes and faults of workers come in series, and those series overlap, while clients keep sending on
// connections that they have: each rule is kept, and all that was accepted ends.
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		plan := drawSoak(*soakFrom + uint64(i))
		t.Run(fmt.Sprint(plan.seed), func(t *testing.T) { playSoak(t, plan) })
	}
}

func playSoak(t *testing.T, plan soakPlan) {
	r := startWith(t, func(spec *cluster.Spec) {
		spec.EdgesPerZone, spec.StoresPerZone = plan.edgesPerZone, plan.storesPerZone
	})
	s := &soak{rig: r, plan: plan}
	wait := r.load(plan.length)
	s.play()
	wait()
	r.awaitReady(len(r.system.Edges))
	assert.GreaterOrEqual(t, r.acceptedSince(0), soakAccepted)
	r.verify()
	t.Logf("seed %d: %d processes; %s", plan.seed, len(r.system.Processes()), s.summary())
}

// soak plays a plan on a rig.
type soak struct {
	*rig
	plan soakPlan

	mu   sync.Mutex
	done [len(soakActNames)]int
}

// play plays all lanes at the same time, each until the plan's length is over, and has the test fail with what went wrong.
func (s *soak) play() {
	ctx, cancel := context.WithTimeout(s.t.Context(), s.plan.length)
	defer cancel()
	found := make([]error, soakLanes)
	var group sync.WaitGroup
	for lane, steps := range s.plan.lanes {
		group.Go(func() { found[lane] = s.playLane(ctx, soakLane(lane), steps) })
	}
	group.Wait()
	require.NoError(s.t, errors.Join(found...), "seed %d", s.plan.seed)
}

func (s *soak) playLane(ctx context.Context, lane soakLane, steps []soakStep) error {
	for _, step := range steps {
		select {
		case <-time.After(step.pause):
		case <-ctx.Done():
			return nil
		}
		if err := s.playStep(lane, step); err != nil {
			return fmt.Errorf("%v: %v: %w", lane, step, err)
		}
		s.mu.Lock()
		s.done[step.act]++
		s.mu.Unlock()
	}
	return nil
}

func (s *soak) playStep(lane soakLane, step soakStep) error {
	switch lane {
	case laneHangups:
		all := s.system.Processes()
		_ = all[step.target%len(all)].Reload() // one that does not run just now hears nothing
		return nil
	case laneChanges:
		return s.change(step.act)
	case laneWorkers:
		return s.injectFault(step)
	}
	process := s.target(lane, step.target)
	if err := s.disturb(process, step); err != nil {
		return err
	}
	if lane == laneDisks {
		return s.awaitHealed()
	}
	return s.awaitServing(process)
}

// target returns the process that a lane's step acts on.
func (s *soak) target(lane soakLane, drawn int) *cluster.Process {
	processes, edges := append(append([]*cluster.Process(nil), s.system.Controls...), s.system.Stores...), s.system.Edges
	switch half := (len(edges) + 1) / 2; lane {
	case laneEdges:
		processes = edges[:half]
	case laneOthers:
		processes = edges[half:max(half+1, len(edges)-1)]
	}
	return processes[drawn%len(processes)]
}

// disturb does something to a process, after which it runs again.
func (s *soak) disturb(process *cluster.Process, step soakStep) error {
	defer s.world.Record.Trouble(process.Node(), step.act.String(), step.act.isPlanned())()
	switch step.act {
	case actRoll:
		if err := process.Stop(grace); err != nil {
			return err
		}
		return process.Start(false)
	case actFreeze:
		if err := process.Freeze(); err != nil {
			return err
		}
		time.Sleep(step.length)
		return process.Thaw()
	case actKillWhileStopping:
		if err := process.Terminate(); err != nil {
			return err
		}
		time.Sleep(step.length)
	}
	if err := process.Kill(); err != nil && !errors.Is(err, cluster.ErrNotRunning) {
		return err
	}
	if step.act == actWipe {
		if err := process.Wipe(); err != nil {
			return err
		}
	}
	time.Sleep(step.length)
	return process.Start(false)
}

// awaitHealed waits until the core and the queue have all copies again: the settings bear the loss of one machine.
func (s *soak) awaitHealed() error {
	ctx, cancel := context.WithTimeout(s.t.Context(), healBound)
	defer cancel()
	for ctx.Err() == nil {
		for i := range s.system.Controls {
			if seen, ok := statusAt(ctx, s.rig, i); ok && seen.Core.Leading && seen.isComplete(len(s.system.Controls)) {
				return nil
			}
		}
		time.Sleep(pollPause)
	}
	return errors.New("the copies are not made up for")
}

// isComplete says whether the core's chain and the queue lack no copy.
func (s coreStatus) isComplete(controls int) bool {
	return len(s.Core.Chain) >= controls && s.Placement != nil && s.Placement.UnderStrength == 0
}

// awaitServing waits until an edge is ready.
func (s *soak) awaitServing(edge *cluster.Process) error {
	ctx, cancel := context.WithTimeout(s.t.Context(), startBound)
	defer cancel()
	for i, other := range s.system.Edges {
		if other != edge {
			continue
		}
		single := client.NewBalancer(s.system.EdgeAddresses()[i : i+1])
		for single.Ready(ctx) == 0 {
			if ctx.Err() != nil {
				return errors.New("the edge is not ready")
			}
			time.Sleep(pollPause)
		}
	}
	return nil
}

// change has an operator order something, and looks at the answer.
func (s *soak) change(act soakAct) error {
	ctx, cancel := context.WithTimeout(s.t.Context(), startBound)
	defer cancel()
	base := s.config
	next := withTimeout(s.rig, base.Version+1, float64(800+base.Version%400))
	switch act {
	case actInvalid:
		next.Routes[0].Service = "nobody"
		return expect(http.StatusBadRequest)(s.staff.Set(ctx, base.Version, next))
	case actRace:
		return s.race(ctx, base, next)
	}
	if err := expect(http.StatusOK)(s.staff.Set(ctx, base.Version, next)); err != nil {
		return err
	}
	s.config = next
	return nil
}

// race has two operators order different changes on the same version: one is taken.
func (s *soak) race(ctx context.Context, base, next protocol.Config) error {
	other := withTimeout(s.rig, next.Version, next.Routes[0].TimeoutMs+1)
	configs := [2]protocol.Config{next, other}
	var answers [2]operator.Answer
	var group sync.WaitGroup
	for i := range configs {
		staff := operatorAt(s.rig, i%len(s.system.Controls))
		group.Go(func() { answers[i], _ = staff.Set(ctx, base.Version, configs[i]) })
	}
	group.Wait()
	winner := 0
	if answers[1].Status == http.StatusOK {
		winner = 1
	}
	s.config = configs[winner]
	if answers[winner].Status != http.StatusOK || answers[1-winner].Status != http.StatusPreconditionFailed {
		return fmt.Errorf("two orders on one version were answered %d and %d", answers[0].Status, answers[1].Status)
	}
	return nil
}

// expect returns what looks at the answer to an order.
func expect(status int) func(operator.Answer, error) error {
	return func(answer operator.Answer, err error) error {
		if err == nil && answer.Status != status {
			err = fmt.Errorf("answered %d, want %d: %s", answer.Status, status, answer.Body)
		}
		return err
	}
}

// soakServices are those whose workers get faults.
var soakServices = []string{"plain", "flaky", "ordered"}

// injectFault makes a worker faulty.
func (s *soak) injectFault(step soakStep) error {
	service := soakServices[step.target%len(soakServices)]
	all := s.world.Fleet.Workers(service)
	worker := all[step.target/len(soakServices)%len(all)]
	switch step.act {
	case actReplaceWorker:
		_, err := s.world.Replace(worker, drainBound+listedFor)
		return err
	case actCrashWorker:
		s.world.Crash(worker, listedFor)
		_, err := s.world.Add(service, worker.Instance().Zone)
		return err
	}
	worker.SetFaults(workers.Faults{Dark: true})
	time.Sleep(step.length)
	worker.SetFaults(workers.Faults{})
	return nil
}

// summary tells how often each act was carried out.
func (s *soak) summary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := ""
	for act, times := range s.done {
		text += fmt.Sprintf("%v %d, ", soakAct(act), times)
	}
	return text
}
