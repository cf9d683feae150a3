package status

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// fullStatus returns a status in which no field is zero, except those that exclude each other.
func fullStatus() Status {
	return Status{
		Node: "control-1",
		Core: Core{
			Disk: "1f", Epoch: 3, Chain: []string{"1f", "2"}, RequiredVoters: 5, DiskFault: "sync: input/output error", Attached: true, Durable: true,
			Voters: []Voter{{"1f", "10.0.0.1:7200", "a"}, {"2", "10.0.0.2:7200", "b"}},
			Last:   9, Committed: 8, Term: 4, Leader: "10.0.0.2:7200", LeaderAdmin: "10.0.0.2:8046", Leading: true,
		},
		Config: Config{Version: 7, Sequence: 2},
		Placement: &Placement{
			Epoch: 5, Copies: 2, Partitions: 3, UnderReplicated: 2, WithoutReplicas: 1,
			Stores: []Store{{Node: "store-1", Zone: "a", Disk: "d0", Retiring: true, Primaries: 11, Replicas: 12, Joining: 13}},
		},
		Members: &Members{
			Edges:  []ZoneEdges{{Zone: "a", Ready: 14, NotReady: 15}},
			Stores: []ZoneStores{{Zone: "b", Live: 16, Leaving: 17, Behind: 18, Pending: 19}},
		},
	}
}

// emptyStatus returns the status of a process that has no information yet.
func emptyStatus() Status {
	return Status{Core: Core{Voters: []Voter{}, Chain: []string{}}}
}

func TestStatusJSONCompatibility(t *testing.T) {
	for name, sample := range map[string]Status{"status": fullStatus(), "status-least": emptyStatus()} {
		t.Run(name, func(t *testing.T) {
			golden, err := os.ReadFile(filepath.Join("testdata", "compat", name+".json"))
			require.NoError(t, err)
			var decoded Status
			decoder := json.NewDecoder(bytes.NewReader(golden))
			decoder.DisallowUnknownFields()
			require.NoError(t, decoder.Decode(&decoded))
			require.Equal(t, sample, decoded)
			encoded, err := json.Marshal(decoded)
			require.NoError(t, err)
			require.Equal(t, string(golden), string(encoded))
		})
	}
}
