package systemtest

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// soakAct is a kind of action in a soak run.
type soakAct uint8

const (
	actRoll              soakAct = iota // SIGTERM, and a start once the process has ended
	actHangup                           // SIGHUP, also to processes that stop or start
	actChange                           // a change of the configuration, which must be accepted
	actInvalid                          // an invalid change, which must be refused
	actRace                             // two operators send changes on the same version
	actReplaceWorker                    // another worker starts, and the old one drains
	actKill                             // SIGKILL, and a start after a time
	actWipe                             // SIGKILL, and a start with an empty disk after a time
	actKillWhileStopping                // SIGTERM, and SIGKILL while the process stops
	actFreeze                           // SIGSTOP, and SIGCONT after a time
	actCrashWorker
	actDarkWorker // the worker accepts connections but does not answer for a time
)

var soakActNames = [...]string{
	"roll", "hangup", "change", "invalid", "race", "replace worker", "kill", "wipe", "cut short", "freeze", "crash worker", "dark worker",
}

func (a soakAct) String() string { return soakActNames[a] }

// isPlanned reports whether the act is planned work, for which the rules allow no losses.
func (a soakAct) isPlanned() bool { return a <= actReplaceWorker }

// soakStep is one act, which starts a pause after the end of the previous step in its lane.
type soakStep struct {
	act    soakAct
	pause  time.Duration
	length time.Duration // of the act, if it lasts
	target int           // drawn number, mapped to one of the lane's targets
}

func (s soakStep) String() string {
	return fmt.Sprintf("%v: %v %d for %v", s.pause.Round(time.Millisecond), s.act, s.target, s.length.Round(time.Millisecond))
}

// soakLane is a sequence of steps on one kind of target. The lanes run concurrently.
type soakLane uint8

const (
	laneDisks   soakLane = iota // control processes and stores: one is down at a time, which is what the settings tolerate
	laneEdges                   // the first half of the edges
	laneOthers                  // the second half of the edges, except the last
	laneHangups                 // all processes
	laneChanges
	laneWorkers
	soakLanes
)

var soakLaneNames = [soakLanes]string{"disks", "edges", "other edges", "hangups", "changes", "workers"}

func (l soakLane) String() string { return soakLaneNames[l] }

// soakPlan is the plan of one soak run, drawn from a seed.
type soakPlan struct {
	seed          uint64
	edgesPerZone  int
	storesPerZone int
	length        time.Duration
	lanes         [soakLanes][]soakStep
}

const (
	soakLength      = 10 * time.Second
	largeInterval   = 8 // one of this many soaks has as many processes as a machine with eight processors can run beside another soak
	plannedInterval = 2 // one of this many soaks has only planned work, for which the rules allow no losses
)

// laneActs lists the possible acts of each lane.
var laneActs = [soakLanes][]soakAct{
	laneDisks:   {actRoll, actKill, actWipe, actKillWhileStopping, actFreeze},
	laneEdges:   {actRoll, actKill, actKillWhileStopping, actFreeze},
	laneOthers:  {actRoll, actKill, actFreeze},
	laneHangups: {actHangup},
	laneChanges: {actChange, actChange, actInvalid, actRace},
	laneWorkers: {actReplaceWorker, actCrashWorker, actDarkWorker},
}

// lanePauses are the mean pauses between the steps of each lane.
var lanePauses = [soakLanes]time.Duration{
	laneDisks: time.Second, laneEdges: 400 * time.Millisecond, laneOthers: 700 * time.Millisecond,
	laneHangups: 150 * time.Millisecond, laneChanges: 300 * time.Millisecond, laneWorkers: 1200 * time.Millisecond,
}

func drawSoak(seed uint64) soakPlan {
	random := rand.New(rand.NewPCG(seed, 51))
	plan := soakPlan{seed: seed, edgesPerZone: 1 + random.IntN(2), storesPerZone: 1 + random.IntN(2), length: soakLength}
	if seed%largeInterval == 0 {
		plan.edgesPerZone, plan.storesPerZone = 10, 3
	}
	planned := seed%plannedInterval == 0
	for lane := range soakLanes {
		plan.lanes[lane] = drawLane(random, lane, planned, plan.length)
	}
	return plan
}

func drawLane(random *rand.Rand, lane soakLane, planned bool, length time.Duration) []soakStep {
	var acts []soakAct
	for _, act := range laneActs[lane] {
		if act.isPlanned() || !planned {
			acts = append(acts, act)
		}
	}
	var steps []soakStep
	for at := time.Duration(0); at < length; {
		step := soakStep{
			act: acts[random.IntN(len(acts))], target: random.IntN(1 << 16),
			pause:  time.Duration(random.ExpFloat64() * float64(lanePauses[lane])),
			length: time.Duration((0.2 + random.Float64()) * float64(time.Second)),
		}
		at += step.pause
		steps = append(steps, step)
	}
	return steps
}

func TestSoakPlanIsDeterministic(t *testing.T) {
	assert.Equal(t, drawSoak(3), drawSoak(3))
	assert.NotEqual(t, drawSoak(3).lanes, drawSoak(5).lanes)
	for seed := range uint64(100) {
		plan := drawSoak(seed)
		for lane, steps := range plan.lanes {
			assert.NotEmpty(t, steps)
			for _, step := range steps {
				assert.True(t, step.act.isPlanned() || seed%plannedInterval != 0, "seed %d, %v: %v", seed, soakLane(lane), step)
			}
		}
	}
}
