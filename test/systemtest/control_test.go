package systemtest

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/test/standin/operator"
	"ravendale/test/standin/protocol"
)

// operatorAt is an operator who calls one control process first, and the others where that gives no clear answer.
func operatorAt(r *rig, control int) *operator.Operator {
	admin := r.system.Admin()
	return operator.New(append(admin[control:len(admin):len(admin)], admin[:control]...), r.world.Record)
}

// withTimeout is the newest configuration with another number and another time-out of the first route.
func withTimeout(r *rig, version uint64, timeoutMs float64) protocol.Config {
	config := r.config
	config.Version = version
	config.Routes = append([]protocol.Route(nil), r.config.Routes...)
	config.Routes[0].TimeoutMs = timeoutMs
	return config
}

// loseAnswer sends an order and closes the connection without reading what comes back.
func loseAnswer(t *testing.T, address string, base uint64, config protocol.Config) {
	t.Helper()
	body, err := json.Marshal(config)
	require.NoError(t, err)
	conn, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /v1/config/set HTTP/1.1\r\nHost: %s\r\n%s: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		address, protocol.HeaderBaseVersion, base, len(body), body)
	require.NoError(t, err)
}

const races = 12 // two operators each

// Of two operators who order under one number at two control processes exactly one is confirmed. Each order that is sent again gets the
// answer that it had, at any control process.
func TestTwoOperatorsUnderOneNumber(t *testing.T) {
	r := start(t)
	wait := r.load(3 * time.Second)
	for round := range races {
		base, version := r.config.Version, r.config.Version+1
		configs := [2]protocol.Config{
			withTimeout(r, version, float64(1000+2*round)),
			withTimeout(r, version, float64(1001+2*round)),
		}
		var answers [2]operator.Answer
		var both sync.WaitGroup
		for i := range configs {
			staff := operatorAt(r, (round+i)%len(r.system.Controls))
			both.Go(func() { answers[i], _ = staff.Set(r.within(startBound), base, configs[i]) })
		}
		both.Wait()
		winner := 0
		if answers[1].Status == http.StatusOK {
			winner = 1
		}
		require.Equal(t, http.StatusOK, answers[winner].Status, "round %d: %s", round, answers[winner].Body)
		require.Equal(t, http.StatusPreconditionFailed, answers[1-winner].Status, "round %d: %s", round, answers[1-winner].Body)
		r.config = configs[winner]
		for control := range r.system.Controls {
			again, err := operatorAt(r, control).Set(r.within(startBound), base, configs[winner])
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, again.Status, "round %d, sent again to control process %d: %s", round, control, again.Body)
			lost, err := operatorAt(r, control).Set(r.within(startBound), base, configs[1-winner])
			require.NoError(t, err)
			require.Equal(t, http.StatusPreconditionFailed, lost.Status, "round %d, the other order at %d: %s", round, control, lost.Body)
		}
	}
	wait()
	r.verify()
}

// An order whose answer was lost is confirmed when it is sent again, whether or not the control process that it went to was killed.
func TestOrderIsSentAgainAfterALostAnswer(t *testing.T) {
	r := start(t)
	wait := r.load(3 * time.Second)
	for round := range 2 * len(r.system.Controls) {
		control, kills := round%len(r.system.Controls), round >= len(r.system.Controls)
		base := r.config.Version
		config := withTimeout(r, base+1, float64(1100+round))
		loseAnswer(t, r.system.Admin()[control], base, config)
		if kills {
			require.NoError(t, r.system.Controls[control].Kill())
		}
		again, err := operatorAt(r, control).Set(r.within(startBound), base, config)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, again.Status, "round %d: %s", round, again.Body)
		r.config = config
		if kills {
			require.NoError(t, r.system.Controls[control].Start(false))
		}
		r.showIsNewest()
	}
	wait()
	r.verify()
}

const manyChanges = 120

// A control process that was away for many changes is killed and started again, and then carries the majority when another goes: it
// has the newest state, and the changes go on from there.
func TestMemberCatchesUpAfterManyChanges(t *testing.T) {
	r := start(t)
	wait := r.load(3 * time.Second)
	controls := r.system.Controls
	require.NoError(t, controls[0].Kill())
	for i := range manyChanges {
		r.patch(protocol.Patch{Upsert: protocol.Upsert{Routes: []protocol.Route{extraRoute(500 + i)}}})
	}
	require.NoError(t, controls[0].Start(false))
	shown, err := operatorAt(r, 0).Show(r.within(startBound))
	require.NoError(t, err)
	require.Equal(t, r.config.Version, shown.Version, "the process that was away hands out the newest configuration")
	require.NoError(t, controls[0].Kill()) // while it catches up
	require.NoError(t, controls[0].Start(false))
	r.patch(protocol.Patch{Upsert: protocol.Upsert{Routes: []protocol.Route{extraRoute(900)}}})

	for _, gone := range controls[1:] { // whoever leads is one of them, or it was the one that was away
		require.NoError(t, gone.Kill())
		answer, err := operatorAt(r, 0).Set(r.within(startBound), r.config.Version, withTimeout(r, r.config.Version+1, 1000))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.Status, "without %s: %s", gone.Name(), answer.Body)
		r.config = withTimeout(r, r.config.Version+1, 1000)
		r.showIsNewest()
		require.NoError(t, gone.Start(false))
		shown, err := operatorAt(r, 0).Show(r.within(startBound))
		require.NoError(t, err)
		assert.Equal(t, r.config.Version, shown.Version)
	}
	wait()
	r.verify()
}
