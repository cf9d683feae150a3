package core

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
	"ravendale/control/chain"
	"ravendale/control/lease"
	"ravendale/control/slots"
	"ravendale/control/view"
)

// compatCodec is implemented by the generated code of each message.
type compatCodec interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

// compatFiller fills values with numbers that increase from field to field, so that swapped fields are noticed. It does
// not depend on field names.
type compatFiller struct {
	next  uint64
	bools uint64
	flags func(ordinal uint64) bool // returns the value of the bool with an ordinal, counted from 1
}

func (f *compatFiller) fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			f.fill(v.Field(i))
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			f.next++
			v.SetBytes([]byte{0, byte(f.next), 0xff})
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.String:
		f.next++
		v.SetString("text-" + string(rune('a'+f.next%26)) + string(rune('a'+f.next/26%26)))
	case reflect.Bool:
		f.bools++
		v.SetBool(f.flags(f.bools))
	case reflect.Uint64:
		f.next++
		v.SetUint(f.next<<40 + 1)
	case reflect.Uint32, reflect.Uint16, reflect.Uint8:
		f.next++
		v.SetUint(f.next)
	case reflect.Int:
		f.next++
		v.SetInt(int64(f.next))
	default:
		panic("no sample for " + v.Type().String())
	}
}

// compatSamples returns a message with all flags set, then three in which any two flags differ at least once, then the
// zero value.
func compatSamples(empty func() compatCodec) []compatCodec {
	patterns := []func(uint64) bool{
		func(uint64) bool { return true },
		func(ordinal uint64) bool { return ordinal&1 != 0 },
		func(ordinal uint64) bool { return ordinal&2 != 0 },
		func(ordinal uint64) bool { return ordinal&4 != 0 },
	}
	var samples []compatCodec
	for _, pattern := range patterns {
		sample := empty()
		(&compatFiller{flags: pattern}).fill(reflect.ValueOf(sample).Elem())
		samples = append(samples, sample)
	}
	return append(samples, empty())
}

// compatMessages maps the names of golden files to the formats of this package. Each file contains the samples one
// after the other.
var compatMessages = map[string]func() compatCodec{
	"heartbeat":     func() compatCodec { return new(heartbeat) },
	"decided":       func() compatCodec { return new(decided) },
	"propose":       func() compatCodec { return new(propose) },
	"forward":       func() compatCodec { return new(forward) },
	"forward-reply": func() compatCodec { return new(forwardReply) },
	"leaving":       func() compatCodec { return new(leaving) },
	"image":         func() compatCodec { return new(Image) },
	"record":        func() compatCodec { return new(record) },
}

// TestMessageEncodingIsStable compares the encoding of each message with the bytes that version a08c060 wrote.
func TestMessageEncodingIsStable(t *testing.T) {
	for name, empty := range compatMessages {
		t.Run(name, func(t *testing.T) {
			golden, err := os.ReadFile(filepath.Join("testdata", "compat", name+".msgp"))
			require.NoError(t, err)
			samples := compatSamples(empty)
			rest := golden
			var again []byte
			for i, sample := range samples {
				decoded := empty()
				rest, err = decoded.UnmarshalMsg(rest)
				require.NoError(t, err)
				if i+1 < len(samples) { // decoding turns the nil slices of the zero value into empty ones
					require.Equal(t, sample, decoded)
				}
				again, err = decoded.MarshalMsg(again)
				require.NoError(t, err)
			}
			require.Empty(t, rest)
			require.Equal(t, golden, again)
			again = nil
			for _, sample := range samples {
				again, err = sample.MarshalMsg(again)
				require.NoError(t, err)
			}
			require.Equal(t, golden, again)
		})
	}
}

// TestMethodNumbersAreStable checks the method number of each message, and the message type of each number.
func TestMethodNumbersAreStable(t *testing.T) {
	numbers := map[wire.Method]msgp.Marshaler{
		128: &heartbeat{}, 129: &view.Prepare{}, 130: &view.Promise{}, 131: &view.Accept{}, 132: &view.AcceptReply{}, 133: &decided{},
		134: &chain.Attach{}, 135: &chain.Fill{}, 136: &chain.Append{}, 137: &chain.Ack{}, 138: &chain.Gap{}, 139: &propose{},
		140: &lease.Request{}, 141: &lease.Reply{}, 142: &lease.Release{}, 144: &leaving{},
	}
	require.Len(t, messageKinds, len(numbers))
	for _, kind := range messageKinds {
		require.IsType(t, numbers[kind.method], kind.newMessage(), "%d", kind.method)
		require.Equal(t, kind.method, methodOf(numbers[kind.method]))
	}
	require.Equal(t, wire.Method(143), methodForward)
	require.Equal(t, []outcome{0, 1, 2}, []outcome{outcomeDone, outcomeUnavailable, outcomeUnknown})
}

// compatDisk writes files as a member does: an image, a record, another image, and records of each kind.
func compatDisk(t *testing.T, folder slots.Folder) {
	t.Helper()
	store, snapshot, _, err := slots.OpenFolder(folder)
	require.NoError(t, err)
	require.Nil(t, snapshot)
	first, second := compatImages()
	require.NoError(t, store.Snapshot(compatEncode(t, first)))
	require.NoError(t, store.Append(compatEncode(t, &compatRecords()[0])))
	require.NoError(t, store.Snapshot(compatEncode(t, second)))
	for _, change := range compatRecords() {
		require.NoError(t, store.Append(compatEncode(t, &change)))
	}
	require.NoError(t, store.Close())
}

func compatEncode(t *testing.T, message msgp.Marshaler) []byte {
	t.Helper()
	data, err := message.MarshalMsg(nil)
	require.NoError(t, err)
	return data
}

func compatView(epoch uint64) view.View {
	return view.View{
		Epoch: epoch,
		Voters: []view.Member{
			{ID: 0x11, Address: "10.0.0.1:7000", Zone: "a"}, {ID: 0x22, Address: "10.0.0.2:7000", Zone: "b"},
			{ID: 0x33, Address: "10.0.0.3:7001", Zone: "c", Storage: true},
		},
		Learners: []view.Member{{ID: 0x44, Address: "10.0.0.4:7000", Zone: "a"}},
		Chain:    []view.ID{0x22, 0x11, 0x44, 0x33}, Complete: 2, Holder: 0x22,
	}
}

// compatImages returns two images of one member, the second without entries.
func compatImages() (first, second *Image) {
	first = &Image{
		ID: 0x11, BootstrapMembers: []string{"10.0.0.1:7000", "10.0.0.2:7000"}, View: compatView(1),
		Vote:    view.Vote{Epoch: 1, Promised: view.Ballot{Number: 2, Proposer: 0x22, Incarnation: 9}},
		Chain:   chain.State{Base: 3, BaseEpoch: 1, Entries: []chain.Entry{{Sequence: 4, Epoch: 1, Origin: 5, Number: 6, Command: []byte("old")}}, CompleteEpoch: 1},
		Machine: []byte("old machine"), Lease: lease.PreviousGrant{Unknown: true},
	}
	second = &Image{
		ID: 0x11, BootstrapMembers: first.BootstrapMembers, View: compatView(2), Vote: first.Vote,
		Chain: chain.State{Base: 4, BaseEpoch: 1, CompleteEpoch: 2}, Machine: []byte("machine"), Lease: lease.PreviousGrant{Holder: 0x22},
	}
	return first, second
}

// compatRecords returns one record of each kind.
func compatRecords() []record {
	next := compatView(3)
	entries := []chain.Entry{
		{Sequence: 5, Epoch: 2}, {Sequence: 6, Epoch: 2, Origin: 7, Number: 1, Command: []byte("one")},
		{Sequence: 7, Epoch: 2, Origin: 7, Number: 2, Command: []byte("two")},
	}
	instead := []chain.Entry{{Sequence: 7, Epoch: 3, Origin: 8, Number: 1, Command: []byte("three")}}
	return []record{
		{Write: &chain.Write{Entries: entries}},
		{Vote: &view.Vote{
			Epoch: 2, Promised: view.Ballot{Number: 4, Proposer: 0x33, Incarnation: 8}, AcceptedAt: view.Ballot{Number: 3, Proposer: 0x22, Incarnation: 7}, Accepted: next,
		}},
		{View: &next},
		{Write: &chain.Write{Truncate: true, TruncateAfter: 6, Entries: instead, CompleteEpoch: 3}},
		{Lease: &lease.PreviousGrant{Holder: 0x11}},
	}
}

// compatFinalImage returns the state that compatDisk results in.
func compatFinalImage() *Image {
	_, image := compatImages()
	records := compatRecords()
	image.View, image.Vote, image.Lease = *records[2].View, *records[1].Vote, *records[4].Lease
	image.Chain.Entries = append(records[0].Write.Entries[:2:2], records[3].Write.Entries...)
	image.Chain.CompleteEpoch = 3
	return image
}

var compatFiles = []string{"slot-0", "slot-1", "log-0", "log-1"}

// TestDiskFormatIsStable reads the files that version a08c060 wrote, starts a member from them, and writes them again.
func TestDiskFormatIsStable(t *testing.T) {
	golden, again := t.TempDir(), t.TempDir()
	for _, name := range compatFiles {
		data, err := os.ReadFile(filepath.Join("testdata", "compat", "disk", name))
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(golden, name), data, 0o600))
	}
	store, snapshot, records, err := slots.Open(golden)
	require.NoError(t, err)
	require.NoError(t, store.Close())
	stored, err := ReadImage(snapshot, records)
	require.NoError(t, err)
	require.Equal(t, compatFinalImage(), stored)

	machine := &compatMachine{}
	node, err := newNode(time.Second, nodeConfig{
		Address: "10.0.0.1:7000", Disk: true, Terms: lease.DefaultTiming, Machine: machine, Random: func() uint64 { return 1 },
	}, snapshot, records)
	require.NoError(t, err)
	require.Equal(t, stored.Machine, machine.state)
	require.Equal(t, stored.ID, node.self.ID)
	var image Image
	rest, err := image.UnmarshalMsg(node.image())
	require.NoError(t, err)
	require.Empty(t, rest)
	require.Equal(t, stored, &image, "the node would write the image that it has read")

	compatDisk(t, slots.OSFolder(again))
	for _, name := range compatFiles {
		want, err := os.ReadFile(filepath.Join("testdata", "compat", "disk", name))
		require.NoError(t, err)
		written, err := os.ReadFile(filepath.Join(again, name))
		require.NoError(t, err)
		require.Equal(t, want, written, name)
	}
}

// compatMachine stores the snapshot that it was restored from.
type compatMachine struct{ state []byte }

func (*compatMachine) Apply([]byte) []byte { return nil }
func (m *compatMachine) Snapshot() []byte  { return m.state }
func (m *compatMachine) Restore(snapshot []byte) error {
	m.state = snapshot
	return nil
}
