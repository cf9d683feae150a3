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
	replaceBound = 40 * time.Second // until the replacement of a member, or the emptying of a store, is complete; below the retention
	pollPause    = 20 * time.Millisecond
)

// coreStatus is the part of the operator's status that the scenarios examine.
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

// statusAt reads the status at one control process; false: it did not answer.
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

// hasReplaced reports whether the process with the given address and disk is a voter and a member of the chain, and no
// voter has its old disk.
func (s coreStatus) hasReplaced(address, disk, old string) bool {
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

// awaitReplacement waits until the leader reports the process as a complete member, with another disk than the old one.
func awaitReplacement(r *rig, control int, old string) {
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
				return seen.hasReplaced(address, own.Core.Disk, old)
			}
		}
		return false
	}, replaceBound, pollPause, "the replacement of the lost control process did not become a complete member")
}

// diskOf returns the identity of a control process's disk.
func diskOf(r *rig, control int) (disk string) {
	r.t.Helper()
	ctx := r.within(startBound)
	require.Eventually(r.t, func() bool {
		seen, ok := statusAt(ctx, r, control)
		disk = seen.Core.Disk
		return ok && disk != ""
	}, startBound, pollPause, "control process %d did not report its disk", control)
	return disk
}

const noControl = -1 // no control process is excluded

// leaderExcept returns the number of the leading control process. If that is the given one, or none leads, it returns
// the one after the given one.
func leaderExcept(r *rig, control int) int {
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

// A control process fails with its disk and is replaced. As soon as the replacement is a complete member another
// control process fails permanently, the leader if possible. The remaining two must accept orders and return the newest
// configuration.
func TestSecondLossAfterReplacement(t *testing.T) {
	for name, replace := range map[string]func(*rig, int) error{
		"at the same address": func(r *rig, control int) error { return r.system.Controls[control].Wipe() },
		"at a new address":    func(r *rig, control int) error { return r.system.ReplaceControl(control) },
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t)
			wait := r.load(3 * time.Second)
			lost := leaderExcept(r, noControl)
			old := diskOf(r, lost)
			require.NoError(t, r.system.Controls[lost].Kill())
			require.NoError(t, replace(r, lost))
			require.NoError(t, r.system.Controls[lost].Start(false))
			awaitReplacement(r, lost, old)

			second := leaderExcept(r, lost)
			require.NoError(t, r.system.Controls[second].Kill())
			r.operator = operator.New(r.system.Admin(), r.world.Record)
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

// createDeadLetters sends messages that their service refuses permanently. Their bodies are retained until the end of
// the scenario.
func createDeadLetters(r *rig) {
	r.clients.Run(r.t.Context(), client.Load{
		RatePerS: 2 * rate, Duration: 2 * time.Second,
		Traffic: []client.Traffic{{Route: "refusing", Host: host, Target: "/refusing/a", BodyBytes: 4096}},
	})
}

// retireWhileFrozen orders a store to be emptied while another store, which has to receive its messages, is frozen.
func retireWhileFrozen(r *rig, leaving, receiver *cluster.Process) {
	r.t.Helper()
	ctx := r.within(replaceBound)
	for {
		require.NoError(r.t, receiver.Freeze())
		answer := r.operator.StartRetire(ctx, leaving.Node(), replaceBound)
		if answer.Status == http.StatusOK {
			return
		}
		require.Equal(r.t, http.StatusConflict, answer.Status, "%s", answer.Body) // the receiver was declared failed before the order arrived
		require.NoError(r.t, receiver.Thaw())
	}
}

func requireRetire(r *rig, leaving *cluster.Process, want string) {
	r.t.Helper()
	state, err := r.operator.RetireState(r.within(startBound), leaving.Node())
	require.NoError(r.t, err)
	require.Equal(r.t, want, state)
}

// awaitUnderStrength waits until the leader has declared a store failed, so that some partitions have too few replicas.
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
	}, replaceBound, pollPause, "the leader did not declare the killed store failed")
}

// A store that receives messages from a store that is being emptied is killed and restarted, with its disk or with an
// empty one. The retirement must not be reported as done before the two remaining stores have all messages: the retired
// store is then wiped, and no message may be missing.
func TestStoreLostDuringRetirement(t *testing.T) {
	for name, between := range map[string]func(*cluster.Process) error{
		"with its disk":      func(*cluster.Process) error { return nil },
		"with an empty disk": (*cluster.Process).Wipe,
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t)
			createDeadLetters(r)
			wait := r.load(8 * time.Second)
			leaving, receiver := r.system.Stores[0], r.system.Stores[1]
			over := r.world.Record.BeginFault(receiver.Node(), "kill", false)
			retireWhileFrozen(r, leaving, receiver)
			require.NoError(t, receiver.Kill())
			requireRetire(r, leaving, "running")
			awaitUnderStrength(r)
			requireRetire(r, leaving, "running")
			require.NoError(t, between(receiver))
			require.NoError(t, receiver.Start(false))
			ctx := r.within(replaceBound)
			require.Eventually(t, func() bool {
				state, err := r.operator.RetireState(ctx, leaving.Node())
				return err == nil && state == "done"
			}, replaceBound, pollPause, "the store was not emptied")
			over()
			require.NoError(t, leaving.Kill())
			require.NoError(t, leaving.Wipe())
			wait()
			r.verify()
			for _, reading := range r.world.Record.History().Readings {
				if reading.State != protocol.StateDone {
					assert.Equal(t, http.StatusOK, reading.BodyStatus, "the body of %s, which is reported as %q", reading.MessageID, reading.State)
				}
			}
		})
	}
}
