package plane

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

func TestMessageCompatibility(t *testing.T) {
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

func TestAllCompatFilesAreRead(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "compat", "*.msgp"))
	require.NoError(t, err)
	require.Len(t, files, len(samples()))
}

// samples returns one value of each message, by the name of its file. No field is zero.
func samples() map[string]message {
	return map[string]message{
		"status-request": &statusRequest{},
		"status-reply":   &statusReply{Status: []byte(`{"node":"control-1"}`)},
	}
}
