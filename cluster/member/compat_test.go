package member

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
)

// TestTopicEncodingCompatibility compares the encoding of the topics with golden files written by the previous version.
func TestTopicEncodingCompatibility(t *testing.T) {
	stores := &wire.StoreView{
		Epoch: 9, Copies: 2,
		Stores: []wire.Store{
			{Disk: "disk-1", Node: "node-1", Address: "10.0.0.1:1", Zone: "a", Region: "r"},
			{Disk: "disk-2", Node: "node-2", Address: "10.0.0.2:1", Zone: "b", Region: "r", Retiring: true},
		},
		Partitions: []wire.Placement{{Replicas: []uint16{1, 0}}, {Replicas: []uint16{0}, Joining: []uint16{1}, Former: []uint16{1}, Covered: true}},
	}
	members := &wire.Members{
		Edges: []wire.Edge{{ID: "e-1", Node: "node-1", Address: "10.0.0.1:2", Zone: "a", Region: "r", Ready: true}},
		Core:  []string{"10.0.0.1:3", "10.0.0.2:3"},
	}
	workers := &wire.Workers{Entries: []wire.Worker{
		{ID: "w-1", Service: "reports", Address: "10.0.0.9:80", Zone: "a", Version: "v1", Capacity: 4, Draining: true, WarmupMillis: 1500},
	}}
	snapshot := &Snapshot{}
	for topic, file := range []string{
		wire.TopicConfig: "config.json", wire.TopicWorkers: "workers.msgpack", wire.TopicStores: "stores.msgpack", wire.TopicMembers: "members.msgpack",
	} {
		golden, err := os.ReadFile(filepath.Join("testdata", "compat", file))
		require.NoError(t, err)
		version := wire.Version{Term: 3, Sequence: uint64(topic) + 1}
		snapshot, err = snapshot.with(wire.Topic(topic), version, golden, true)
		require.NoError(t, err)
		require.Equal(t, version, snapshot.Versions[topic])
		var again []byte
		switch wire.Topic(topic) {
		case wire.TopicConfig:
			again = snapshot.Catalog.Config().Document()
		case wire.TopicWorkers:
			again = encode(t, snapshot.Workers)
		case wire.TopicStores:
			again = encode(t, snapshot.Stores)
		case wire.TopicMembers:
			again = encode(t, snapshot.Members)
		}
		require.Equal(t, string(golden), string(again))
	}
	require.Equal(t, stores, snapshot.Stores)
	require.Equal(t, members, snapshot.Members)
	require.Equal(t, workers, snapshot.Workers)
	require.Len(t, snapshot.Catalog.Config().Routes, 2)
}

func encode(t *testing.T, message msgp.Marshaler) []byte {
	t.Helper()
	encoded, err := message.MarshalMsg(nil)
	require.NoError(t, err)
	return encoded
}
