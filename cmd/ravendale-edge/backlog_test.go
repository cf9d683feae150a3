package main

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/edge/dispatch"
)

func TestBacklogsAreLoggedWhileTheyLast(t *testing.T) {
	var lines bytes.Buffer
	log := slog.New(slog.NewTextHandler(&lines, nil))

	were := logBacklogs([]dispatch.Backlog{{Service: "s", Oldest: 2 * time.Second, Held: 3, Workers: 6, Full: 5}}, nil, log)
	assert.Contains(t, lines.String(), `level=WARN msg="messages wait" service=s oldest=2s turn=0 paused=0 token=0 held=3 running=0 workers=6 sick=0 full=5`)

	lines.Reset()
	were = logBacklogs(nil, were, log)
	assert.Contains(t, lines.String(), `level=INFO msg="no messages wait any more" service=s`)

	lines.Reset()
	logBacklogs(nil, were, log)
	assert.Empty(t, lines.String())
}
