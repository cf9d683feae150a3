package lease

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
	return map[string]message{
		"request": &Request{Epoch: 300, Incarnation: 0xfedcba9876543210, ElectionRound: 0x10000},
		"reply":   &Reply{Epoch: 301, Incarnation: 0x0102030405060708, ElectionRound: 0x100000000, Granted: true},
		"release": &Release{Incarnation: 0xfedcba9876543211, ElectionRound: 129},
		"past":    &PreviousGrant{Holder: 0xfedcba9876543212, Unknown: true},
	}
}
