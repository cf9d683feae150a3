package relay

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

// TestCompressedUpdateCompatibility decodes a compressed update written by the previous version. The compressed bytes
// may differ between versions, since deflate allows several encodings; only the decompressed bytes must be equal.
func TestCompressedUpdateCompatibility(t *testing.T) {
	golden, err := os.ReadFile("testdata/compat/update-compressed.msgpack")
	require.NoError(t, err)
	var full bytes.Buffer
	for i := range 1000 {
		fmt.Fprintf(&full, "worker-%d.zone-%d;", i, i%3)
	}
	var update wire.Update
	rest, err := update.UnmarshalMsg(golden)
	require.NoError(t, err)
	require.Empty(t, rest)
	require.True(t, update.Compressed)
	require.Equal(t, wire.TopicWorkers, update.Topic)
	require.Equal(t, wire.Version{Term: 7, Sequence: 3}, update.To)
	payload, err := Payload(&update)
	require.NoError(t, err)
	require.Equal(t, full.Bytes(), payload)
	encoded, err := update.MarshalMsg(nil)
	require.NoError(t, err)
	require.Equal(t, golden, encoded)

	update.Payload = compress(full.Bytes())
	require.NotNil(t, update.Payload)
	payload, err = Payload(&update)
	require.NoError(t, err)
	require.Equal(t, full.Bytes(), payload)
}
