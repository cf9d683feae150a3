package leader

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"
)

// TestOrdersToRetireKeepTheirEncoding holds the operator's orders between control processes to the bytes that the version before wrote.
func TestOrdersToRetireKeepTheirEncoding(t *testing.T) {
	type message interface {
		msgp.Marshaler
		msgp.Unmarshaler
	}
	tests := []struct {
		file  string
		value message
		empty message
	}{
		{"retire", &Retire{Node: "node-1"}, new(Retire)},
		{"retire-reply", &RetireReply{Code: RetireTooFew, Reason: "too few"}, new(RetireReply)},
		{"retire-state-reply", &RetireStateReply{Code: RetireNotLeading, Done: true}, new(RetireStateReply)},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			golden, err := os.ReadFile(filepath.Join("testdata", "compat", test.file+".msgpack"))
			require.NoError(t, err)
			rest, err := test.empty.UnmarshalMsg(golden)
			require.NoError(t, err)
			require.Empty(t, rest)
			require.Equal(t, test.value, test.empty)
			encoded, err := test.empty.MarshalMsg(nil)
			require.NoError(t, err)
			require.Equal(t, golden, encoded)
		})
	}
	require.Equal(t, []RetireCode{0, 1, 2, 3, 4}, []RetireCode{RetireStarted, RetireUnknownNode, RetireTooFew, RetireNotLeading, RetireUndecided})
}
