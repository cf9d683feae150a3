package queue

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
	"ravendale/store/journal"
)

// generatedMessage is implemented by every generated type of this package.
type generatedMessage interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

func compatMessage() wire.Message {
	return wire.Message{
		ID: "1.abc", RequestID: "request-7", Route: "route-1", Method: "POST", Host: "host.example", Target: "/path?x=1",
		ContentType: "application/json", Key: "key-3", Body: []byte("body \x00\xff"), SentUnixMs: 1_764_693_000_123, DelayMs: 2_500,
		RetentionMs: 86_400_000, Retries: 9, Ordered: true,
	}
}

// compatRecords returns a record of each kind with the fields that the kind uses, and one record with all fields. The
// keys name files in testdata.
func compatRecords() map[string]Record {
	return map[string]Record{
		"record-all": {
			Kind: RecordMessage, Partition: 513, ID: "e9.all", Sequence: 1<<33 + 5, State: wire.StateDropped, Failed: 300, Signature: "signature-1",
			Leaseholder: "edge-1", NoBody: true, Message: compatMessage(),
		},
		"record-whole-pending": {
			Kind: RecordMessage, Partition: 1, ID: "1.pending", Sequence: 1<<32 + 1, State: wire.StatePending, Failed: 2, Leaseholder: "edge-2",
			Message: compatMessage(),
		},
		"record-whole-done": {
			Kind: RecordMessage, Partition: 1, ID: "1.done", Sequence: 1<<32 + 2, State: wire.StateDone, Failed: 1, Signature: "signature-2",
		},
		"record-whole-dead": {
			Kind: RecordMessage, Partition: 1, ID: "1.dead", Sequence: 1<<32 + 3, State: wire.StateDead, Failed: 9, Message: compatMessage(),
		},
		"record-whole-bare": {Kind: RecordMessage, Partition: 1, ID: "1.bare", Sequence: 1<<32 + 4, State: wire.StateDead, Failed: 9, NoBody: true},
		"record-end": {
			Kind: RecordFinish, Partition: 2, ID: "2.end", Sequence: 1<<32 + 5, State: wire.StateDone, Failed: 3, Signature: "signature-3",
		},
		"record-failed": {Kind: RecordFailed, Partition: 3, ID: "3.failed", Failed: 4},
		"record-drop":   {Kind: RecordDrop, Partition: 4, ID: "4.drop"},
		"record-wipe":   {Kind: RecordWipe, Partition: 5},
		"record-epoch":  {Kind: RecordEpoch, Sequence: 77},
		"record-holder": {Kind: RecordLeaseholder, Partition: 6, ID: "6.holder", Leaseholder: "edge-3"},
	}
}

func compatDigest(id string, state wire.State) Digest {
	return Digest{ID: id, Sum: 0xfedc_ba98_7654_3210, State: state, Failed: 258, NoBody: true}
}

func compatMessages() map[string]generatedMessage {
	messages := map[string]generatedMessage{
		"hello":       &Hello{From: "DISK-FROM", To: "DISK-TO"},
		"hello-reply": &HelloReply{Accepted: true},
		"replicate":   &Replicate{Epoch: 70_000, Number: 1 << 34, Old: true, Records: [][]byte{{1, 2, 3}, []byte("record")}},
		"acked":       &Acked{Number: 1 << 35},
		"compare":     &Compare{Epoch: 70_001, Partition: 700, ComparisonID: 1 << 36, Horizon: 1 << 37, Sums: []uint64{1, 1 << 63, 3}},
		"digest":      pointerTo(compatDigest("7.digest", wire.StateDead)),
		"differ": &Differ{
			Partition: 701, ComparisonID: 1<<36 + 1, Bucket: 31, Last: true,
			Entries: []Digest{compatDigest("8.one", wire.StateDone), compatDigest("8.two", wire.StateDropped)},
		},
		"fetch":   &Fetch{Epoch: 70_002, Partition: 702, ComparisonID: 1<<36 + 2, IDs: []string{"9.one", "9.two"}},
		"fetched": &Fetched{Partition: 703, ComparisonID: 1<<36 + 3, Last: true, Records: [][]byte{{4, 5}, []byte("record-2")}},
		"filled":  &Filled{Epoch: 70_003, Partition: 704},
	}
	for name, record := range compatRecords() {
		messages[name] = &record
	}
	return messages
}

func pointerTo[T any](value T) *T { return &value }

// readCompat reads a file of testdata/compat that holds bytes as hexadecimal digits, in lines.
func readCompat(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "compat", name+".hex"))
	require.NoError(t, err)
	data, err := hex.DecodeString(strings.ReplaceAll(string(text), "\n", ""))
	require.NoError(t, err)
	return data
}

// Stores of two versions exchange these messages and read these records from disk, so their encoding must not change by
// a byte.
func TestMessageAndRecordEncodingIsStable(t *testing.T) {
	for name, sample := range compatMessages() {
		t.Run(name, func(t *testing.T) {
			want := readCompat(t, name)
			encoded, err := sample.MarshalMsg(nil)
			require.NoError(t, err)
			assert.Equal(t, want, encoded)
			decoded := newOfSameType(t, sample)
			rest, err := decoded.UnmarshalMsg(want)
			require.NoError(t, err)
			assert.Empty(t, rest)
			assert.Equal(t, sample, decoded)
			again, err := decoded.MarshalMsg(nil)
			require.NoError(t, err)
			assert.Equal(t, want, again)
		})
	}
}

func newOfSameType(t *testing.T, sample generatedMessage) generatedMessage {
	t.Helper()
	switch sample.(type) {
	case *Hello:
		return new(Hello)
	case *HelloReply:
		return new(HelloReply)
	case *Replicate:
		return new(Replicate)
	case *Acked:
		return new(Acked)
	case *Compare:
		return new(Compare)
	case *Digest:
		return new(Digest)
	case *Differ:
		return new(Differ)
	case *Fetch:
		return new(Fetch)
	case *Fetched:
		return new(Fetched)
	case *Filled:
		return new(Filled)
	case *Record:
		return new(Record)
	}
	require.Fail(t, "unknown message type")
	return nil
}

func TestMethodAndKindNumbersAreStable(t *testing.T) {
	for offset, method := range []wire.Method{
		MethodHello, MethodReplicate, MethodAcked, MethodCompare, MethodDiffer, MethodFetch, MethodFetched, MethodFilled,
	} {
		assert.Equal(t, wire.MethodStorePrivate+wire.Method(offset), method)
	}
	for number, kind := range []RecordKind{
		RecordMessage, RecordFinish, RecordFailed, RecordDrop, RecordWipe, RecordEpoch, RecordLeaseholder,
	} {
		assert.EqualValues(t, number, kind)
	}
}

// Stores of two versions compare partitions by their checksums, so these must not change.
func TestPartitionSumsAreStable(t *testing.T) {
	c := New(Config{}, nil)
	for i, name := range []string{"record-whole-pending", "record-whole-done", "record-whole-dead", "record-whole-bare"} {
		at := journal.Location{Segment: 1, Offset: uint32(100 * (i + 1))}
		require.NoError(t, c.Recover(Time{Steady: time.Second, UnixMs: 1_764_693_100_000}, at, readCompat(t, name)))
	}
	want := new(Compare)
	_, err := want.UnmarshalMsg(readCompat(t, "sums"))
	require.NoError(t, err)
	nonzero := 0
	for _, sum := range want.Sums {
		if sum != 0 {
			nonzero++
		}
	}
	require.Equal(t, 4, nonzero)
	assert.Equal(t, want.Sums, c.partition(1).sums[:])
}
