package placement

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// sequence draws the same numbers on every version of Go.
type sequence uint64

func (s *sequence) below(n int) int {
	*s = *s*6364136223846793005 + 1442695040888963407
	return int(uint64(*s)>>33) % n
}

// plannedViews plays a long series of losses, returns, lost disks and retirements, and lists each view that was planned: its epoch, its size
// and the hash of its bytes.
func plannedViews(t *testing.T, config Config, seed uint64) []byte {
	t.Helper()
	const machines = 9
	random := sequence(seed)
	var log bytes.Buffer
	var view *wire.StoreView
	disks := make([]int, machines)
	down := make([]bool, machines)
	leaving := make([]bool, machines)
	stalled := make([]bool, machines)
	for step := range 400 {
		switch m := random.below(machines); random.below(8) {
		case 0:
			down[m] = true
		case 1:
			down[m], leaving[m] = false, false
		case 2:
			disks[m], down[m] = disks[m]+1, false
		case 3:
			leaving[m] = !leaving[m]
		case 4:
			stalled[m] = !stalled[m]
		case 5:
			clear(down)
			clear(leaving)
			clear(stalled)
		}
		var live []Store
		for m := range machines {
			if down[m] {
				continue
			}
			s := Store{
				Disk: fmt.Sprintf("disk-%d-%d", m, disks[m]), Node: fmt.Sprintf("node-%d", m), Address: fmt.Sprintf("10.0.0.%d:1", m),
				Zone: fmt.Sprintf("zone-%d", m%3), Region: fmt.Sprintf("region-%d", m%2), Leaving: leaving[m], Stalled: stalled[m], Assumed: random.below(12) == 0,
			}
			if view != nil {
				s.Epoch = view.Epoch
				for i, p := range view.Partitions {
					for _, joining := range p.Joining {
						if view.Stores[joining].Disk == s.Disk && random.below(3) > 0 {
							s.Synced = append(s.Synced, uint16(i))
						}
					}
				}
			}
			live = append(live, s)
		}
		if next, known, enough := Retire(view, live, config, fmt.Sprintf("node-%d", random.below(machines))); random.below(25) == 0 {
			fmt.Fprintf(&log, "%d retire %v %v\n", step, known, enough)
			if enough {
				view = next
			}
		}
		next, changed := Plan(view, live, config)
		if next != nil {
			view = next
			encoded, err := view.MarshalMsg(nil)
			require.NoError(t, err)
			fmt.Fprintf(&log, "%d epoch %d changed %v bytes %d hash %016x\n", step, view.Epoch, changed, len(encoded), xxhash.Sum64(encoded))
		}
	}
	return log.Bytes()
}

// TestPlacementsAreAsBefore holds the planned views to those of the version before: a control process of either may lead while a system is
// rolled, and must not undo what the other has placed.
func TestPlacementsAreAsBefore(t *testing.T) {
	for name, config := range map[string]Config{
		"views-nodes":   {Copies: 2, Partitions: 32},
		"views-zones":   {Copies: 3, Partitions: 32, Zones: true},
		"views-regions": {Copies: 2, Partitions: 32, Regions: true},
	} {
		t.Run(name, func(t *testing.T) {
			golden, err := os.ReadFile("testdata/compat/" + name + ".txt")
			require.NoError(t, err)
			require.Equal(t, string(golden), string(plannedViews(t, config, 54)))
		})
	}
}
