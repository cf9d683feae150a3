package view

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
	voter := Member{ID: 0xfedcba9876543210, Address: "10.0.0.1:7200", Zone: "a", Storage: true}
	learner := Member{ID: 0x1234, Address: "10.0.0.2:7200", Zone: "b", Storage: true}
	ballot := Ballot{Number: 0x10000, Proposer: 0xfedcba9876543210, Incarnation: 0x0102030405060708}
	promised := Ballot{Number: 0x10001, Proposer: 0x1234, Incarnation: 77}
	accepted := Ballot{Number: 3, Proposer: 5, Incarnation: 0x8000}
	decided := View{
		Epoch: 0x100000000, Voters: []Member{voter, {ID: 9, Address: "10.0.0.3:7200", Zone: "c", Storage: true}}, Learners: []Member{learner},
		Chain: []ID{0xfedcba9876543210, 9, 0x1234}, Complete: 2, Holder: 9, Vacant: true,
	}
	return map[string]message{
		"member":       &voter,
		"view":         &decided,
		"ballot":       &ballot,
		"vote":         &Vote{Epoch: 300, Promised: promised, AcceptedAt: accepted, Accepted: decided},
		"prepare":      &Prepare{View: decided, Ballot: ballot},
		"promise":      &Promise{Epoch: 301, Ballot: ballot, Granted: true, Promised: promised, AcceptedAt: accepted, Accepted: decided, Complete: true, Holder: 9, HolderUnknown: true},
		"accept":       &Accept{Epoch: 302, Ballot: ballot, View: decided},
		"accept-reply": &AcceptReply{Epoch: 303, Ballot: ballot, Granted: true, Promised: promised},
	}
}
