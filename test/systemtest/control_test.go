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

// operatorAt returns an operator that calls the given control process first, and the others if it gives no clear
// answer.
func operatorAt(r *rig, control int) *operator.Operator {
	admin := r.system.Admin()
	return operator.New(append(admin[control:len(admin):len(admin)], admin[:control]...), r.world.Record)
}

// withTimeout returns the newest configuration with another version and another timeout of the first route.
func withTimeout(r *rig, version uint64, timeoutMs float64) protocol.Config {
	config := r.config
	config.Version = version
	config.Routes = append([]protocol.Route(nil), r.config.Routes...)
	config.Routes[0].TimeoutMs = timeoutMs
	return config
}

// sendAndDropAnswer sends an order and closes the connection without reading the answer.
func sendAndDropAnswer(t *testing.T, address string, base uint64, config protocol.Config) {
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

const raceRounds = 12 // rounds with two racing operators each

// Two operators send orders with the same version to two control processes. Exactly one must be confirmed, and
// repeating either order at any control process must give the same answer again.
func TestRacingOrders(t *testing.T) {
	r := start(t)
	wait := r.load(3 * time.Second)
	for round := range raceRounds {
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
			require.Equal(t, http.StatusOK, again.Status, "round %d, confirmed order repeated at control process %d: %s", round, control, again.Body)
			lost, err := operatorAt(r, control).Set(r.within(startBound), base, configs[1-winner])
			require.NoError(t, err)
			require.Equal(t, http.StatusPreconditionFailed, lost.Status, "round %d, refused order repeated at control process %d: %s", round, control, lost.Body)
		}
	}
	wait()
	r.verify()
}

// An order whose answer was lost must be confirmed when it is repeated, even if the control process that received it
// was killed.
func TestOrderIsRepeatedAfterLostAnswer(t *testing.T) {
	r := start(t)
	wait := r.load(3 * time.Second)
	for round := range 2 * len(r.system.Controls) {
		control, kills := round%len(r.system.Controls), round >= len(r.system.Controls)
		base := r.config.Version
		config := withTimeout(r, base+1, float64(1100+round))
		sendAndDropAnswer(t, r.system.Admin()[control], base, config)
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
		r.verifyShownConfig()
	}
	wait()
	r.verify()
}

const manyChanges = 120

// A control process misses many changes, is started, killed while it catches up and started again. It is then needed
// for the majority when each of the others is killed in turn. It must have the newest state, and further changes must
// be accepted.
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
	require.Equal(t, r.config.Version, shown.Version, "the process that missed the changes returns the newest configuration")
	require.NoError(t, controls[0].Kill()) // while it catches up
	require.NoError(t, controls[0].Start(false))
	r.patch(protocol.Patch{Upsert: protocol.Upsert{Routes: []protocol.Route{extraRoute(900)}}})

	for _, gone := range controls[1:] { // the leader is one of them, or the process that missed the changes
		require.NoError(t, gone.Kill())
		answer, err := operatorAt(r, 0).Set(r.within(startBound), r.config.Version, withTimeout(r, r.config.Version+1, 1000))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.Status, "without %s: %s", gone.Name(), answer.Body)
		r.config = withTimeout(r, r.config.Version+1, 1000)
		r.verifyShownConfig()
		require.NoError(t, gone.Start(false))
		shown, err := operatorAt(r, 0).Show(r.within(startBound))
		require.NoError(t, err)
		assert.Equal(t, r.config.Version, shown.Version)
	}
	wait()
	r.verify()
}
