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
	soakSeeds = flag.Int("soaks", 4, "number of soak runs, one seed each")
	soakFrom  = flag.Uint64("soakfrom", 1, "the first seed")
)

const (
	healBound    = 30 * time.Second       // until all copies lost by a step are replaced
	listedFor    = 500 * time.Millisecond // how long a crashed worker stays on the platform's list
	soakAccepted = 0.5                    // fraction of the messages that must be accepted, regardless of the faults
)

// TestSoak runs overlapping series of signals, restarts, lost disks, configuration changes and worker faults while
// clients send on persistent connections. All rules must hold and all accepted messages must end.
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

// soak executes a plan on a rig.
type soak struct {
	*rig
	plan soakPlan

	mu         sync.Mutex
	doneCounts [len(soakActNames)]int
}

// play executes all lanes concurrently until the plan's length is over, and fails the test with all errors.
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
		s.doneCounts[step.act]++
		s.mu.Unlock()
	}
	return nil
}

func (s *soak) playStep(lane soakLane, step soakStep) error {
	switch lane {
	case laneHangups:
		all := s.system.Processes()
		_ = all[step.target%len(all)].Reload() // a process that does not run at this moment gets no signal
		return nil
	case laneChanges:
		return s.changeConfig(step.act)
	case laneWorkers:
		return s.injectWorkerFault(step)
	}
	process := s.target(lane, step.target)
	if err := s.injectProcessFault(process, step); err != nil {
		return err
	}
	if lane == laneDisks {
		return s.awaitReplicas()
	}
	return s.awaitServing(process)
}

// target maps a step's drawn number to a process of its lane.
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

// injectProcessFault executes a step on a process. Afterwards the process runs again.
func (s *soak) injectProcessFault(process *cluster.Process, step soakStep) error {
	defer s.world.Record.BeginFault(process.Node(), step.act.String(), step.act.isPlanned())()
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

// awaitReplicas waits until the core and the queue have all copies again, since the settings tolerate the failure of
// only one machine at a time.
func (s *soak) awaitReplicas() error {
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
	return errors.New("the core or the queue still lacks copies")
}

// isComplete reports whether the core's chain and the queue have all copies.
func (s coreStatus) isComplete(controls int) bool {
	return len(s.Core.Chain) >= controls && s.Placement != nil && s.Placement.UnderStrength == 0
}

// awaitServing waits until an edge is ready. For other processes it returns at once.
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
				return errors.New("the edge did not become ready")
			}
			time.Sleep(pollPause)
		}
	}
	return nil
}

// changeConfig sends an order of the given kind and checks its answer.
func (s *soak) changeConfig(act soakAct) error {
	ctx, cancel := context.WithTimeout(s.t.Context(), startBound)
	defer cancel()
	base := s.config
	next := withTimeout(s.rig, base.Version+1, float64(800+base.Version%400))
	switch act {
	case actInvalid:
		next.Routes[0].Service = "nobody"
		return expectStatus(http.StatusBadRequest)(s.operator.Set(ctx, base.Version, next))
	case actRace:
		return s.raceOrders(ctx, base, next)
	}
	if err := expectStatus(http.StatusOK)(s.operator.Set(ctx, base.Version, next)); err != nil {
		return err
	}
	s.config = next
	return nil
}

// raceOrders sends two different changes on the same base version, of which exactly one must be accepted.
func (s *soak) raceOrders(ctx context.Context, base, next protocol.Config) error {
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
		return fmt.Errorf("two orders on the same version were answered %d and %d, want one 200 and one 412", answers[0].Status, answers[1].Status)
	}
	return nil
}

// expectStatus returns a function that checks the status of the answer to an order.
func expectStatus(status int) func(operator.Answer, error) error {
	return func(answer operator.Answer, err error) error {
		if err == nil && answer.Status != status {
			err = fmt.Errorf("answered %d, want %d: %s", answer.Status, status, answer.Body)
		}
		return err
	}
}

// soakServices are the services whose workers get faults.
var soakServices = []string{"plain", "flaky", "ordered"}

// injectWorkerFault executes a step on a worker.
func (s *soak) injectWorkerFault(step soakStep) error {
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
	worker.SetFaults(workers.Faults{Unresponsive: true})
	time.Sleep(step.length)
	worker.SetFaults(workers.Faults{})
	return nil
}

// summary lists how often each act was executed.
func (s *soak) summary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := ""
	for act, times := range s.doneCounts {
		text += fmt.Sprintf("%v %d, ", soakAct(act), times)
	}
	return text
}
