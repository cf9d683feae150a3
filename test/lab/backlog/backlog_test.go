package backlog

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRunRecoversMessagesAfterRestart(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	result, err := Run(ctx, Config{Dir: t.TempDir(), Messages: 3000, Body: 200})
	require.NoError(t, err)
	require.Equal(t, 3000, result.Messages)
	require.Greater(t, result.Disk, int64(3000*200))
	require.Positive(t, result.Filled)
	require.Positive(t, result.Recovered)
}

func TestRunCancelledDuringFill(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := Run(ctx, Config{Dir: t.TempDir(), Messages: 3000, Body: 200})
	require.ErrorIs(t, err, context.Canceled)
}
