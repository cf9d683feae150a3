package lab

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ravendale"
)

// Sends to one cold server are counted over all schedulers, also across two spans. A send to a leaving server is late only if
// the scheduler that sends had been listed the leave, and the server had not joined again.
func TestTraceCountsAcrossSchedulers(t *testing.T) {
	dir := t.TempDir()
	for name, lines := range map[string][]string{
		"n0.log": {`0 "msg":"serving"`, `0.1 "msg":"send","job":1,"server":"a","cold":true,"open":2`, `0.2 "msg":"dial"`, `0.3 "msg":"end","outcome":0`,
			`0.3 "msg":"answer","kind":0`, `0.4 "msg":"leaves","server":"a"`, `0.4 "msg":"leaves","server":"b"`, `0.5 "msg":"joins","server":"b"`, "no JSON",
			`5.5 "msg":"send","job":2,"server":"b","open":4`, `5.7 "msg":"send","job":2,"try":1,"server":"a","cold":true`},
		"n1.log": {`1 "msg":"watch asked"`, `1.5 "msg":"watch ended"`, `1.9 "msg":"send","job":1,"server":"a","cold":true`,
			`4.2 "msg":"send","job":1,"try":1,"server":"a","cold":true`, `4.3 "msg":"answer","kind":1`,
			`4.4 "msg":"left","job":7`, `4.4 "msg":"left","job":8`, `4.4 "msg":"sent","job":9`, `4.4 "msg":"left","job":9`,
			`4.4 "msg":"answer","kind":1,"why":"no_start"`, `4.7 "msg":"sent","job":7`, `4.71 "msg":"sent","job":8`, `4.9 "msg":"sent","job":9`, `4.5 "msg":"refused","why":"leaving"`},
	} {
		for i, line := range lines {
			at, rest, _ := strings.Cut(line, " ")
			lines[i] = at + ` {"time":"2026-12-01T10:00:0` + at + `Z",` + rest + "}"
		}
		if err := os.WriteFile(filepath.Join(dir, name), []byte(strings.Join(lines, "\n")), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	spans, skipped, err := Trace(dir, 5*time.Second)
	want := []*Span{{Jobs: 2, Sends: 3, ToCold: 3, Dials: 1, Served: 1, Refused: 3, ListCalls: 1, ListCallsFailed: 1, Open: 1,
		Outcomes: map[ravendale.Outcome]int{ravendale.OK: 1}, MostToOneCold: 2,
		Unsent: map[string]int{"no_start": 1, "leaving": 1}, LeftWaiting: 2, SentAfterLeft: 1},
		{From: 5 * time.Second, Jobs: 1, Sends: 2, ToCold: 1, Open: 4, Outcomes: map[ravendale.Outcome]int{}, MostToOneCold: 2,
			Unsent: map[string]int{}, LateSends: 1, LatestSend: 5300 * time.Millisecond}}
	if diff := cmp.Diff(want, spans); diff != "" || skipped != 1 || err != nil {
		t.Errorf("%d lines skipped, %v\n%s", skipped, err, diff)
	}
	if _, _, err := Trace(t.TempDir(), time.Second); err == nil || !strings.Contains(err.Error(), "no *.log files in this folder") {
		t.Errorf("Trace of an empty folder: %v", err)
	}
}
