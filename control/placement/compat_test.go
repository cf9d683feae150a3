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

// machines are the stores of a played system.
type machines [9]struct {
	disk                   int
	down, leaving, stalled bool
}

// disturb has something happen to a machine, or all of them come back.
func (m *machines) disturb(random *sequence) {
	switch at := &m[random.below(len(m))]; random.below(8) {
	case 0:
		at.down = true
	case 1:
		at.down, at.leaving = false, false
	case 2:
		at.disk, at.down = at.disk+1, false
	case 3:
		at.leaving = !at.leaving
	case 4:
		at.stalled = !at.stalled
	case 5:
		for i := range m {
			m[i].down, m[i].leaving, m[i].stalled = false, false, false
		}
	}
}

// live lists the stores that are up. Most of those that are joining a partition say that they hold it completely.
func (m *machines) live(view *wire.StoreView, random *sequence) []Store {
	var live []Store
	for i, machine := range m {
		if machine.down {
			continue
		}
		s := Store{
			Disk: fmt.Sprintf("disk-%d-%d", i, machine.disk), Node: fmt.Sprintf("node-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i),
			Zone: fmt.Sprintf("zone-%d", i%3), Region: fmt.Sprintf("region-%d", i%2),
			Leaving: machine.leaving, Stalled: machine.stalled, Assumed: random.below(12) == 0,
		}
		if view != nil {
			s.Epoch, s.Synced = view.Epoch, syncedIn(view, s.Disk, random)
		}
		live = append(live, s)
	}
	return live
}

func syncedIn(view *wire.StoreView, disk string, random *sequence) []uint16 {
	var synced []uint16
	for i, p := range view.Partitions {
		for _, joining := range p.Joining {
			if view.Stores[joining].Disk == disk && random.below(3) > 0 {
				synced = append(synced, uint16(i))
			}
		}
	}
	return synced
}

// plannedViews plays a long series of losses, returns, lost disks and retirements, and lists each view that was planned: its epoch, its size
// and the hash of its bytes.
func plannedViews(t *testing.T, config Config, seed uint64) []byte {
	t.Helper()
	random := sequence(seed)
	var log bytes.Buffer
	var view *wire.StoreView
	var system machines
	for step := range 400 {
		system.disturb(&random)
		live := system.live(view, &random)
		node := fmt.Sprintf("node-%d", random.below(len(system)))
		if next, known, enough := Retire(view, live, config, node); random.below(25) == 0 {
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
// rolled, and must not undo what the other has placed. They were recorded when a joining store whose disk was lost still counted as covering its
// partition, and are played with that fault.
func TestPlacementsAreAsBefore(t *testing.T) {
	for name, config := range map[string]Config{
		"views-nodes":   {Copies: 2, Partitions: 32},
		"views-zones":   {Copies: 3, Partitions: 32, Zones: true},
		"views-regions": {Copies: 2, Partitions: 32, Regions: true},
	} {
		t.Run(name, func(t *testing.T) {
			golden, err := os.ReadFile("testdata/compat/" + name + ".txt")
			require.NoError(t, err)
			config.mutant.ignoreWipedJoining = true
			require.Equal(t, string(golden), string(plannedViews(t, config, 54)))
		})
	}
}
