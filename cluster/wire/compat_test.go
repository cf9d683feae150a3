package wire

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"
)

// TestMessageEncodingCompatibility compares the encoding of each message with golden files written by the previous
// version. The files must not be regenerated: during a rolling upgrade processes of both versions run side by side.
func TestMessageEncodingCompatibility(t *testing.T) {
	type message interface {
		msgp.Marshaler
		msgp.Unmarshaler
	}
	tests := []struct {
		file  string
		value message
		empty message
	}{
		{"version", &Version{Term: 5000000001, Sequence: 5000000002}, new(Version)},
		{"member", &Member{ID: "id-1", Node: "node-2", Address: "address-3", Zone: "zone-4", Region: "region-5", Edge: true, Storage: true, Disk: "disk-6", Ready: true, Leaving: true}, new(Member)},
		{"member-flags-1", &Member{ID: "id-1", Node: "node-2", Address: "address-3", Zone: "zone-4", Region: "region-5", Edge: true, Storage: false, Disk: "disk-6", Ready: true, Leaving: false}, new(Member)},
		{"member-flags-2", &Member{ID: "id-1", Node: "node-2", Address: "address-3", Zone: "zone-4", Region: "region-5", Edge: true, Storage: true, Disk: "disk-6", Ready: false, Leaving: false}, new(Member)},
		{"store-status", &StoreStatus{Epoch: 5000000001, Synced: []uint16{302, 303}, Pending: 5000000004, Messages: 5000000005, Stalled: true}, new(StoreStatus)},
		{"renew", &Renew{Member: Member{ID: "id-1", Node: "node-2", Address: "address-3", Zone: "zone-4", Region: "region-5", Edge: true, Storage: true, Disk: "disk-6", Ready: true, Leaving: true}, Store: StoreStatus{Epoch: 5000000007, Synced: []uint16{308, 309}, Pending: 5000000010, Messages: 5000000011, Stalled: true}, Have: []Version{{Term: 5000000012, Sequence: 5000000013}, {Term: 5000000014, Sequence: 5000000015}}}, new(Renew)},
		{"renew-reply", &RenewReply{Granted: true, Leader: "leader-1", LeaseMillis: 70002, Heads: []Version{{Term: 5000000003, Sequence: 5000000004}, {Term: 5000000005, Sequence: 5000000006}}, Core: []string{"core-7", "core-8"}}, new(RenewReply)},
		{"subscribe", &Subscribe{Member: "member-1", Have: []Version{{Term: 5000000002, Sequence: 5000000003}, {Term: 5000000004, Sequence: 5000000005}}}, new(Subscribe)},
		{"subscribe-reply", &SubscribeReply{Accepted: true}, new(SubscribeReply)},
		{"update", &Update{Topic: 2, From: Version{Term: 5000000002, Sequence: 5000000003}, To: Version{Term: 5000000004, Sequence: 5000000005}, Delta: true, Compressed: true, Payload: []byte("payload\x00\xff6")}, new(Update)},
		{"update-flags-1", &Update{Topic: 2, From: Version{Term: 5000000002, Sequence: 5000000003}, To: Version{Term: 5000000004, Sequence: 5000000005}, Delta: true, Compressed: false, Payload: []byte("payload\x00\xff6")}, new(Update)},
		{"update-flags-2", &Update{Topic: 2, From: Version{Term: 5000000002, Sequence: 5000000003}, To: Version{Term: 5000000004, Sequence: 5000000005}, Delta: true, Compressed: true, Payload: []byte("payload\x00\xff6")}, new(Update)},
		{"beat", &Heartbeat{Heads: []Version{{Term: 5000000001, Sequence: 5000000002}, {Term: 5000000003, Sequence: 5000000004}}}, new(Heartbeat)},
		{"fetch", &Fetch{Topic: 2, Have: Version{Term: 5000000002, Sequence: 5000000003}}, new(Fetch)},
		{"host-core", &HostCore{Host: true}, new(HostCore)},
		{"store", &Store{Disk: "disk-1", Node: "node-2", Address: "address-3", Zone: "zone-4", Region: "region-5", Retiring: true}, new(Store)},
		{"placement", &Placement{Replicas: []uint16{301, 302}, Joining: []uint16{303, 304}, Former: []uint16{305, 306}, Covered: true, Unsure: true}, new(Placement)},
		{"placement-flags-1", &Placement{Replicas: []uint16{301, 302}, Joining: []uint16{303, 304}, Former: []uint16{305, 306}, Covered: true, Unsure: false}, new(Placement)},
		{"placement-flags-2", &Placement{Replicas: []uint16{301, 302}, Joining: []uint16{303, 304}, Former: []uint16{305, 306}, Covered: true, Unsure: true}, new(Placement)},
		{"store-view", &StoreView{Epoch: 5000000001, Copies: 302, Stores: []Store{{Disk: "disk-3", Node: "node-4", Address: "address-5", Zone: "zone-6", Region: "region-7", Retiring: true}, {Disk: "disk-8", Node: "node-9", Address: "address-10", Zone: "zone-11", Region: "region-12", Retiring: true}}, Partitions: []Placement{{Replicas: []uint16{313, 314}, Joining: []uint16{315, 316}, Former: []uint16{317, 318}, Covered: true, Unsure: true}, {Replicas: []uint16{319, 320}, Joining: []uint16{321, 322}, Former: []uint16{323, 324}, Covered: true, Unsure: true}}}, new(StoreView)},
		{"edge", &Edge{ID: "id-1", Node: "node-2", Address: "address-3", Zone: "zone-4", Region: "region-5", Ready: true}, new(Edge)},
		{"members", &Members{Edges: []Edge{{ID: "id-1", Node: "node-2", Address: "address-3", Zone: "zone-4", Region: "region-5", Ready: true}, {ID: "id-6", Node: "node-7", Address: "address-8", Zone: "zone-9", Region: "region-10", Ready: true}}, Core: []string{"core-11", "core-12"}}, new(Members)},
		{"worker", &Worker{ID: "id-1", Service: "service-2", Address: "address-3", Zone: "zone-4", Version: "version-5", Capacity: 70006, Draining: true, WarmupMillis: 70007}, new(Worker)},
		{"workers", &Workers{Entries: []Worker{{ID: "id-1", Service: "service-2", Address: "address-3", Zone: "zone-4", Version: "version-5", Capacity: 70006, Draining: true, WarmupMillis: 70007}, {ID: "id-8", Service: "service-9", Address: "address-10", Zone: "zone-11", Version: "version-12", Capacity: 70013, Draining: true, WarmupMillis: 70014}}}, new(Workers)},
		{"message", &Message{ID: "id-1", RequestID: "requestid-2", Route: "route-3", Method: "method-4", Host: "host-5", Target: "target-6", ContentType: "contenttype-7", Key: "key-8", Body: []byte("body\x00\xff9"), SentUnixMs: 1700000000010, DelayMs: 70011, RetentionMs: 70012, Retries: 313, Ordered: true}, new(Message)},
		{"attach", &Attach{Edge: "edge-1", Zone: "zone-2", Draining: true}, new(Attach)},
		{"edge-config", &EdgeConfig{Version: 5000000001}, new(EdgeConfig)},
		{"attach-reply", &AttachReply{Epoch: 5000000001}, new(AttachReply)},
		{"put", &Put{Partition: 301, Epoch: 5000000002, Message: Message{ID: "id-3", RequestID: "requestid-4", Route: "route-5", Method: "method-6", Host: "host-7", Target: "target-8", ContentType: "contenttype-9", Key: "key-10", Body: []byte("body\x00\xff11"), SentUnixMs: 1700000000012, DelayMs: 70013, RetentionMs: 70014, Retries: 315, Ordered: true}, Dispatch: true}, new(Put)},
		{"put-reply", &PutReply{Code: 2, Epoch: 5000000002, Granted: true}, new(PutReply)},
		{"report", &Report{Partition: 301, Epoch: 5000000002, ID: "id-3", Kind: 2, Failed: 305, Signature: "signature-6"}, new(Report)},
		{"report-reply", &ReportReply{Code: 2, Epoch: 5000000002}, new(ReportReply)},
		{"claim", &Claim{Epoch: 5000000001, IDs: []string{"ids-2", "ids-3"}}, new(Claim)},
		{"claim-reply", &ClaimReply{Code: 2, Epoch: 5000000002, Unknown: []string{"unknown-3", "unknown-4"}}, new(ClaimReply)},
		{"find", &Find{ID: "id-1", Body: true, Epoch: 5000000002}, new(Find)},
		{"find-reply", &FindReply{Found: true, State: 2, Signature: "signature-2", Body: []byte("body\x00\xff3")}, new(FindReply)},
		{"grant", &Grant{Partition: 301, Epoch: 5000000002, ID: "id-3", Failed: 304, HasMessage: true, Message: Message{ID: "id-5", RequestID: "requestid-6", Route: "route-7", Method: "method-8", Host: "host-9", Target: "target-10", ContentType: "contenttype-11", Key: "key-12", Body: []byte("body\x00\xff13"), SentUnixMs: 1700000000014, DelayMs: 70015, RetentionMs: 70016, Retries: 317, Ordered: true}}, new(Grant)},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			golden, err := os.ReadFile(filepath.Join("testdata", "compat", test.file+".msgpack"))
			require.NoError(t, err)
			rest, err := test.empty.UnmarshalMsg(golden)
			require.NoError(t, err)
			require.Empty(t, rest)
			require.Equal(t, test.value, test.empty)
			encoded, err := test.empty.MarshalMsg(nil)
			require.NoError(t, err)
			require.Equal(t, golden, encoded)
		})
	}
	files, err := filepath.Glob(filepath.Join("testdata", "compat", "*.msgpack"))
	require.NoError(t, err)
	require.Len(t, files, len(tests), "a golden file without a test, or the reverse")
}

// TestWireNumbers checks that the numbers of methods, topics, codes and states in messages have not changed.
func TestWireNumbers(t *testing.T) {
	methods := map[Method]uint16{
		MethodRenew: 1, MethodSubscribe: 2, MethodUpdate: 3, MethodHeartbeat: 4, MethodFetch: 5, MethodRetire: 6, MethodRetireState: 7, MethodStatus: 8,
		MethodHostCore: 9, MethodAttach: 32, MethodPut: 33, MethodReport: 34, MethodClaim: 35, MethodFind: 36, MethodGrant: 37, MethodEdgeConfig: 38,
		MethodStorePrivate: 64, MethodCorePrivate: 128,
	}
	require.Len(t, methods, 18)
	for method, number := range methods {
		require.EqualValues(t, number, method)
	}
	require.Equal(t, []Topic{0, 1, 2, 3, 4}, []Topic{TopicConfig, TopicWorkers, TopicStores, TopicMembers, TopicCount})
	require.Equal(t, []State{0, 1, 2, 3}, []State{StatePending, StateDone, StateDead, StateDropped})
	require.Equal(t, []PutCode{0, 1, 2, 3, 4}, []PutCode{PutAccepted, PutStale, PutNotPrimary, PutRejected, PutUnknown})
	require.Equal(t, []ReportKind{0, 1, 2, 3, 4, 5},
		[]ReportKind{ReportDone, ReportFailed, ReportDead, ReportDropped, ReportReleased, ReportExpired})
}

// TestMessageIDFormat checks that message IDs, which clients hold, and the partitions of order keys have not changed.
func TestMessageIDFormat(t *testing.T) {
	require.Equal(t, "1r.abc-1_2.z", MessageID(63, "abc-1_2.z"))
	partition, ok := PartitionOf("1r.abc-1_2.z")
	require.True(t, ok)
	require.EqualValues(t, 63, partition)
	require.EqualValues(t, 63, PartitionOfKey("customer-7", 64))
	require.EqualValues(t, 25, PartitionOfKey("", 64))
	require.Equal(t, "1r.abc-1_2.z_1z", VersionedMessageID(63, "abc-1_2.z", 71))
	for id, version := range map[string]uint64{
		"1r.abc-1_2.z_1z": 71, "1r.abc-1_2.z": 0, "1r.14qm434rt7-h": 0, "1r.14qm434rt7-h_4": 4, "1r.abc_": 0, "": 0,
		"1r.abc_zzzzzzzzzzzzzzzz": 0, // more than 64 bits
	} {
		require.Equal(t, version, ConfigVersionOf(id), id)
	}
}

// TestDropReasonFormat checks that the reasons for drops, which processes of two versions exchange, have not changed.
func TestDropReasonFormat(t *testing.T) {
	require.Equal(t, []DropReason{"", "put", "config 71"}, []DropReason{DropUnexplained, DropAbandonedPut, DropRemovedRoute(71)})
	for _, reason := range []DropReason{DropUnexplained, DropAbandonedPut, "config", "config x", "signature"} {
		_, removed := reason.ConfigVersion()
		require.False(t, removed, reason)
	}
	version, removed := DropRemovedRoute(71).ConfigVersion()
	require.True(t, removed)
	require.EqualValues(t, 71, version)
}
