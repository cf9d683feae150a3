package leader

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"
)

// TestRetireMessageCompatibility checks that the messages between control processes about retirements are encoded as by
// the previous version.
func TestRetireMessageCompatibility(t *testing.T) {
	type message interface {
		msgp.Marshaler
		msgp.Unmarshaler
	}
	tests := []struct {
		file    string
		value   message
		decoded message
	}{
		{"retire", &Retire{Node: "node-1"}, new(Retire)},
		{"retire-reply", &RetireReply{Code: RetireTooFew, Reason: "too few"}, new(RetireReply)},
		{"retire-state-reply", &RetireStateReply{Code: RetireNotLeading, Done: true}, new(RetireStateReply)},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			golden, err := os.ReadFile(filepath.Join("testdata", "compat", test.file+".msgpack"))
			require.NoError(t, err)
			rest, err := test.decoded.UnmarshalMsg(golden)
			require.NoError(t, err)
			require.Empty(t, rest)
			require.Equal(t, test.value, test.decoded)
			encoded, err := test.decoded.MarshalMsg(nil)
			require.NoError(t, err)
			require.Equal(t, golden, encoded)
		})
	}
	require.Equal(t, []RetireCode{0, 1, 2, 3, 4}, []RetireCode{RetireStarted, RetireUnknownNode, RetireTooFew, RetireNotLeading, RetireUndecided})
}
