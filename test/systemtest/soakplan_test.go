package systemtest

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// soakAct is something that is done to the system in a soak.
type soakAct uint8

const (
	actRoll              soakAct = iota // SIGTERM, and a start once the process has ended
	actHangup                           // SIGHUP, also to processes that stop or start
	actChange                           // a change of the configuration, which must be taken
	actInvalid                          // ... and one that must be refused
	actRace                             // two operators order on the same version
	actReplaceWorker                    // another starts, and it drains
	actKill                             // SIGKILL, and a start after a time
	actWipe                             // the same, with an empty disk
	actKillWhileStopping                // SIGTERM, and SIGKILL while the process stops
	actFreeze                           // SIGSTOP, and SIGCONT after a time
	actCrashWorker
	actDarkWorker // it accepts connections and says nothing for a time
)

var soakActNames = [...]string{
	"roll", "hangup", "change", "invalid", "race", "replace worker", "kill", "wipe", "cut short", "freeze", "crash worker", "dark worker",
}

func (a soakAct) String() string { return soakActNames[a] }

// isPlanned says whether nothing may be lost round it but what it stops.
func (a soakAct) isPlanned() bool { return a <= actReplaceWorker }

// soakStep is one act, a pause after the one before it in its lane.
type soakStep struct {
	act    soakAct
	pause  time.Duration
	length time.Duration // it lasts
	target int           // among what the lane acts on
}

func (s soakStep) String() string {
	return fmt.Sprintf("%v: %v %d for %v", s.pause.Round(time.Millisecond), s.act, s.target, s.length.Round(time.Millisecond))
}

// soakLane is what its steps act on. Steps of a lane come one after the other, and those of several lanes at the same time.
type soakLane uint8

const (
	laneDisks   soakLane = iota // control processes and stores: one is away at a time, as the settings say
	laneEdges                   // the first half of the edges
	laneOthers                  // the second half, but for the last
	laneHangups                 // all processes
	laneChanges
	laneWorkers
	soakLanes
)

var soakLaneNames = [soakLanes]string{"disks", "edges", "other edges", "hangups", "changes", "workers"}

func (l soakLane) String() string { return soakLaneNames[l] }

// soakPlan is one soak, drawn from a seed.
type soakPlan struct {
	seed          uint64
	edgesPerZone  int
	storesPerZone int
	length        time.Duration
	lanes         [soakLanes][]soakStep
}

const (
	soakLength   = 10 * time.Second
	largeEvery   = 8 // one soak of so many has as many processes as a machine of eight processors bears beside another
	plannedEvery = 2 // one of so many has planned work alone, beside which nothing may be lost
)

// soakActs lists what may be done in each lane.
var soakActs = [soakLanes][]soakAct{
	laneDisks:   {actRoll, actKill, actWipe, actKillWhileStopping, actFreeze},
	laneEdges:   {actRoll, actKill, actKillWhileStopping, actFreeze},
	laneOthers:  {actRoll, actKill, actFreeze},
	laneHangups: {actHangup},
	laneChanges: {actChange, actChange, actInvalid, actRace},
	laneWorkers: {actReplaceWorker, actCrashWorker, actDarkWorker},
}

// soakPauses are the mean times between the steps of a lane.
var soakPauses = [soakLanes]time.Duration{
	laneDisks: time.Second, laneEdges: 400 * time.Millisecond, laneOthers: 700 * time.Millisecond,
	laneHangups: 150 * time.Millisecond, laneChanges: 300 * time.Millisecond, laneWorkers: 1200 * time.Millisecond,
}

func drawSoak(seed uint64) soakPlan {
	random := rand.New(rand.NewPCG(seed, 51))
	plan := soakPlan{seed: seed, edgesPerZone: 1 + random.IntN(2), storesPerZone: 1 + random.IntN(2), length: soakLength}
	if seed%largeEvery == 0 {
		plan.edgesPerZone, plan.storesPerZone = 10, 3
	}
	planned := seed%plannedEvery == 0
	for lane := range soakLanes {
		plan.lanes[lane] = drawLane(random, lane, planned, plan.length)
	}
	return plan
}

func drawLane(random *rand.Rand, lane soakLane, planned bool, length time.Duration) []soakStep {
	var acts []soakAct
	for _, act := range soakActs[lane] {
		if act.isPlanned() || !planned {
			acts = append(acts, act)
		}
	}
	var steps []soakStep
	for at := time.Duration(0); at < length; {
		step := soakStep{
			act: acts[random.IntN(len(acts))], target: random.IntN(1 << 16),
			pause:  time.Duration(random.ExpFloat64() * float64(soakPauses[lane])),
			length: time.Duration((0.2 + random.Float64()) * float64(time.Second)),
		}
		at += step.pause
		steps = append(steps, step)
	}
	return steps
}

func TestSoaksAreDrawnFromTheirSeed(t *testing.T) {
	assert.Equal(t, drawSoak(3), drawSoak(3))
	assert.NotEqual(t, drawSoak(3).lanes, drawSoak(5).lanes)
	for seed := range uint64(100) {
		plan := drawSoak(seed)
		for lane, steps := range plan.lanes {
			assert.NotEmpty(t, steps)
			for _, step := range steps {
				assert.True(t, step.act.isPlanned() || seed%plannedEvery != 0, "seed %d, %v: %v", seed, soakLane(lane), step)
			}
		}
	}
}
