package delta

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDeltaEncodingCompatibility compares the encoding with bytes written by the previous version: a parent and its
// child may run different versions.
func TestDeltaEncodingCompatibility(t *testing.T) {
	golden, err := os.ReadFile("testdata/compat/delta.msgpack")
	require.NoError(t, err)
	var delta Delta
	rest, err := delta.UnmarshalMsg(golden)
	require.NoError(t, err)
	require.Empty(t, rest)
	require.Equal(t, Delta{
		Size: 70001, Sum: 5000000002,
		Steps: []Step{{Offset: 70003, Length: 70004, Data: []byte("data\x00\xff5")}, {Offset: 70006, Length: 70007, Data: []byte("data\x00\xff8")}},
	}, delta)
	encoded, err := delta.MarshalMsg(nil)
	require.NoError(t, err)
	require.Equal(t, golden, encoded)
}

// TestDeltaOfPreviousVersionApplies applies a delta that the previous version made from two documents, and checks that
// Make returns the same.
func TestDeltaOfPreviousVersionApplies(t *testing.T) {
	golden, err := os.ReadFile("testdata/compat/document.msgpack")
	require.NoError(t, err)
	base, result := document(100), document(100, 0, 50, 99)
	applied, err := Apply(base, golden)
	require.NoError(t, err)
	require.Equal(t, result, applied)
	made, err := Make(base, result)
	require.NoError(t, err)
	require.Equal(t, golden, made)
}
