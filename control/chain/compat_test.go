package chain

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"
)

// message is implemented by pointers to the messages of this package.
type message interface {
	msgp.Marshaler
	msgp.Unmarshaler
	msgp.Encodable
	msgp.Decodable
}

func TestEncodingsMatchGoldenFiles(t *testing.T) {
	for name, sample := range samples() {
		t.Run(name, func(t *testing.T) {
			golden, err := os.ReadFile(filepath.Join("testdata", "compat", name+".msgp"))
			require.NoError(t, err)

			decoded := reflect.New(reflect.TypeOf(sample).Elem()).Interface().(message)
			rest, err := decoded.UnmarshalMsg(golden)
			require.NoError(t, err)
			require.Empty(t, rest)
			require.Equal(t, sample, decoded)
			encoded, err := decoded.MarshalMsg(nil)
			require.NoError(t, err)
			require.Equal(t, golden, encoded)

			streamed := reflect.New(reflect.TypeOf(sample).Elem()).Interface().(message)
			require.NoError(t, msgp.Decode(bytes.NewReader(golden), streamed))
			require.Equal(t, sample, streamed)
			var buffer bytes.Buffer
			require.NoError(t, msgp.Encode(&buffer, streamed))
			require.Equal(t, golden, buffer.Bytes())
		})
	}
}

func TestEveryGoldenFileHasSample(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "compat", "*.msgp"))
	require.NoError(t, err)
	require.Len(t, files, len(samples()))
}

// samples returns one value of each message, with no zero field, by the name of its file.
func samples() map[string]message {
	entries := []Entry{
		{Sequence: 0x0102030405060708, Epoch: 0x11, Origin: 0xfedcba9876543210, Number: 0x10000, Command: []byte("command")},
		{Sequence: 300, Epoch: 200, Origin: 0x1ffffffff, Number: 7, Command: []byte{0, 1, 0xff}},
	}
	return map[string]message{
		"entry":  &entries[0],
		"state":  &State{Base: 41, BaseEpoch: 0x1234, Entries: entries, CompleteEpoch: 0x100000000},
		"write":  &Write{Truncate: true, TruncateAfter: 0x8000, Entries: entries, CompleteEpoch: 129},
		"attach": &Attach{Epoch: 5, Last: 0x10203, LastEpoch: 4, Committed: 0x10201},
		"fill":   &Fill{Epoch: 6, HasSnapshot: true, Snapshot: []byte("snapshot"), From: 0x4444, FromEpoch: 3, Entries: entries, Committed: 0x5555},
		"append": &Append{Epoch: 7, Previous: 0x6666, Entries: entries, Committed: 0x123456789},
		"ack":    &Ack{Epoch: 8, Committed: 0x7777},
		"gap":    &Gap{Epoch: 9, Last: 0x8888},
	}
}
