package systemtest

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/test/standin/client"
	"ravendale/test/standin/cluster"
	"ravendale/test/standin/operator"
	"ravendale/test/standin/protocol"
)

const (
	replaceBound = 40 * time.Second // until a member that was replaced, or a store that is emptied, is made up for; below the retention
	pollPause    = 20 * time.Millisecond
)

// coreStatus is the part of the operator's status that the scenarios wait for.
type coreStatus struct {
	Core struct {
		Disk   string `json:"disk"`
		Voters []struct {
			Disk    string `json:"disk"`
			Address string `json:"address"`
		} `json:"voters"`
		Chain   []string `json:"chain"`
		Wanted  int      `json:"votersWanted"`
		Leading bool     `json:"leading"`
	} `json:"core"`
	Placement *struct {
		Epoch         uint64 `json:"epoch"`
		UnderStrength int    `json:"underStrength"`
	} `json:"placement"`
}

// statusAt asks one control process how it sees the system; false: it did not answer.
func statusAt(ctx context.Context, r *rig, control int) (seen coreStatus, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	staff := operator.New(r.system.Admin()[control:control+1], r.world.Record)
	answer := staff.Call(ctx, http.MethodGet, "/v1/status", nil, nil)
	if answer.Status != http.StatusOK {
		return seen, false
	}
	return seen, json.Unmarshal(answer.Body, &seen) == nil
}

// carries says whether a member that leads names the process as a voter and a member of the chain, and its old disk nowhere.
func (s coreStatus) carries(address, disk, old string) bool {
	voters := 0
	for _, voter := range s.Core.Voters {
		if voter.Disk == old || voter.Disk == disk && voter.Address != address {
			return false
		}
		if voter.Disk == disk {
			voters++
		}
	}
	return voters == 1 && slices.Contains(s.Core.Chain, disk)
}

// awaitMember waits until the leader says that the process is filled, with another disk than the old one.
func awaitMember(r *rig, control int, old string) {
	r.t.Helper()
	ctx := r.within(replaceBound)
	address := r.system.ControlRPC(r.system.Controls[control])
	require.Eventually(r.t, func() bool {
		own, ok := statusAt(ctx, r, control)
		if !ok || own.Core.Disk == "" || own.Core.Disk == old {
			return false
		}
		for i := range r.system.Controls {
			if seen, ok := statusAt(ctx, r, i); ok && seen.Core.Leading {
				return seen.carries(address, own.Core.Disk, old)
			}
		}
		return false
	}, replaceBound, pollPause, "the process in the place of the lost one is not filled")
}

// diskOf is the identity of a control process's disk.
func diskOf(r *rig, control int) (disk string) {
	r.t.Helper()
	ctx := r.within(startBound)
	require.Eventually(r.t, func() bool {
		seen, ok := statusAt(ctx, r, control)
		disk = seen.Core.Disk
		return ok && disk != ""
	}, startBound, pollPause, "control process %d does not tell its disk", control)
	return disk
}

const none = -1 // of the control processes

// leaderBeside is the control process that leads, or if that is the given one or none, the one after it.
func leaderBeside(r *rig, control int) int {
	for i := range r.system.Controls {
		if i == control {
			continue
		}
		if seen, ok := statusAt(r.within(startBound), r, i); ok && seen.Core.Leading {
			return i
		}
	}
	return (control + 1) % len(r.system.Controls)
}

// A control process is lost with its disk and another takes its place. As soon as that one is filled another is lost for good, the
// leader if it can be: the two that are left take orders, and hand out the newest configuration.
func TestASecondLossRightAfterAReplacement(t *testing.T) {
	for name, replace := range map[string]func(*rig, int) error{
		"at the same address":      func(r *rig, control int) error { return r.system.Controls[control].Wipe() },
		"at an address of its own": func(r *rig, control int) error { return r.system.ReplaceControl(control) },
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t)
			wait := r.load(3 * time.Second)
			lost := leaderBeside(r, none)
			old := diskOf(r, lost)
			require.NoError(t, r.system.Controls[lost].Kill())
			require.NoError(t, replace(r, lost))
			require.NoError(t, r.system.Controls[lost].Start(false))
			awaitMember(r, lost, old)

			second := leaderBeside(r, lost)
			require.NoError(t, r.system.Controls[second].Kill())
			r.staff = operator.New(r.system.Admin(), r.world.Record)
			r.configure(r.config.Version, withTimeout(r, r.config.Version+1, 1001))
			for control := range r.system.Controls {
				if control == second {
					continue
				}
				shown, err := operatorAt(r, control).Show(r.within(startBound))
				require.NoError(t, err)
				assert.Equal(t, r.config.Version, shown.Version, "at control process %d", control)
			}
			wait()
			r.verify()
		})
	}
}

// keepDeadMessages has messages refused for good, whose bodies are kept until the end of the scenario.
func keepDeadMessages(r *rig) {
	r.clients.Run(r.t.Context(), client.Load{
		RatePerS: 2 * rate, Duration: 2 * time.Second,
		Traffic: []client.Traffic{{Route: "refusing", Host: host, Target: "/refusing/a", BodyBytes: 4096}},
	})
}

// retireBeside orders a store to be emptied while another, which has to take from it, is frozen.
func retireBeside(r *rig, leaving, receiver *cluster.Process) {
	r.t.Helper()
	ctx := r.within(replaceBound)
	for {
		require.NoError(r.t, receiver.Freeze())
		answer := r.staff.StartRetire(ctx, leaving.Node(), replaceBound)
		if answer.Status == http.StatusOK {
			return
		}
		require.Equal(r.t, http.StatusConflict, answer.Status, "%s", answer.Body) // it was given up before the order came
		require.NoError(r.t, receiver.Thaw())
	}
}

func requireRetire(r *rig, leaving *cluster.Process, want string) {
	r.t.Helper()
	state, err := r.staff.RetireState(r.within(startBound), leaving.Node())
	require.NoError(r.t, err)
	require.Equal(r.t, want, state)
}

// awaitUnderStrength waits until the leader has given a store up, so that some partitions lie on too few.
func awaitUnderStrength(r *rig) {
	r.t.Helper()
	ctx := r.within(replaceBound)
	require.Eventually(r.t, func() bool {
		for i := range r.system.Controls {
			if seen, ok := statusAt(ctx, r, i); ok && seen.Core.Leading && seen.Placement != nil {
				return seen.Placement.UnderStrength > 0
			}
		}
		return false
	}, replaceBound, pollPause, "the store that was killed is not given up")
}

// A store that takes from one that is being emptied is killed, and comes back, with its disk or without: the other is not said to be empty
// before the two that stay have all. Then it is removed with its disk, and nothing is missing.
func TestAStoreIsLostWhileAnotherIsRetired(t *testing.T) {
	for name, between := range map[string]func(*cluster.Process) error{
		"and keeps its disk": func(*cluster.Process) error { return nil },
		"and loses its disk": (*cluster.Process).Wipe,
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t)
			keepDeadMessages(r)
			wait := r.load(8 * time.Second)
			leaving, receiver := r.system.Stores[0], r.system.Stores[1]
			over := r.world.Record.Trouble(receiver.Node(), "kill", false)
			retireBeside(r, leaving, receiver)
			require.NoError(t, receiver.Kill())
			requireRetire(r, leaving, "running")
			awaitUnderStrength(r)
			requireRetire(r, leaving, "running")
			require.NoError(t, between(receiver))
			require.NoError(t, receiver.Start(false))
			ctx := r.within(replaceBound)
			require.Eventually(t, func() bool {
				state, err := r.staff.RetireState(ctx, leaving.Node())
				return err == nil && state == "done"
			}, replaceBound, pollPause, "the store is not emptied")
			over()
			require.NoError(t, leaving.Kill())
			require.NoError(t, leaving.Wipe())
			wait()
			r.verify()
			for _, reading := range r.world.Record.History().Readings {
				if reading.State != protocol.StateDone {
					assert.Equal(t, http.StatusOK, reading.BodyStatus, "the body of %s, which is told to be %q", reading.MessageID, reading.State)
				}
			}
		})
	}
}
