package main

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ravendale/edge/dispatch"
)

func TestLogBacklogs(t *testing.T) {
	var lines bytes.Buffer
	log := slog.New(slog.NewTextHandler(&lines, nil))

	overdue := logBacklogs([]dispatch.Backlog{{Service: "s", Oldest: 2 * time.Second, Queued: 3, Workers: 6, AtCapacity: 5}}, nil, log)
	assert.Contains(t, lines.String(), `level=WARN msg="messages overdue" service=s oldest=2s key_order=0 backing_off=0 rate_limited=0 queued=3 in_flight=0 workers=6 unhealthy=0 at_capacity=5`)

	lines.Reset()
	overdue = logBacklogs(nil, overdue, log)
	assert.Contains(t, lines.String(), `level=INFO msg="no messages overdue" service=s`)

	lines.Reset()
	logBacklogs(nil, overdue, log)
	assert.Empty(t, lines.String())
}
