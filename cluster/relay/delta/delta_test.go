package delta

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMakeAndApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 400).Draw(t, "base")
		result := bytes.Clone(base)
		for range rapid.IntRange(0, 5).Draw(t, "edits") {
			at := rapid.IntRange(0, len(result)).Draw(t, "at")
			end := rapid.IntRange(at, len(result)).Draw(t, "end")
			put := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "put")
			result = append(append(bytes.Clone(result[:at]), put...), result[end:]...)
		}
		encoded, err := Make(base, result)
		require.NoError(t, err)
		made, err := Apply(base, encoded)
		require.NoError(t, err)
		require.True(t, bytes.Equal(result, made))
	})
}

func document(lines int, changed ...int) []byte {
	var b bytes.Buffer
	for i := range lines {
		value := i
		for _, c := range changed {
			if c == i {
				value = -1
			}
		}
		fmt.Fprintf(&b, `{"name":"route-%d","host":"host.example","pathPrefix":"/p%d/","timeoutMs":%d}`, i, i, value)
	}
	return b.Bytes()
}

func TestDeltaOfScatteredChangesIsSmall(t *testing.T) {
	base, result := document(1000), document(1000, 0, 500, 999)
	encoded, err := Make(base, result)
	require.NoError(t, err)
	require.Less(t, len(encoded), 600)
	made, err := Apply(base, encoded)
	require.NoError(t, err)
	require.Equal(t, result, made)
}

func TestApplyToOtherBase(t *testing.T) {
	encoded, err := Make(document(10), document(10, 5))
	require.NoError(t, err)
	_, err = Apply(document(10, 1), encoded)
	require.ErrorIs(t, err, ErrResultMismatch)
	_, err = Apply(nil, encoded)
	require.ErrorIs(t, err, ErrBaseTooShort)
	_, err = Apply(nil, []byte{0xc1})
	require.Error(t, err)
}

func FuzzApply(f *testing.F) {
	good, _ := Make(document(10), document(10, 5))
	f.Add(document(10), good)
	f.Fuzz(func(t *testing.T, base, encoded []byte) {
		_, _ = Apply(base, encoded)
	})
}
