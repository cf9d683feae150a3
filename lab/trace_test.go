package lab

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"ravendale"
)

// What only the sum over schedulers shows: sends to one cold server, and sends after a drain was told to that very scheduler.
func TestTraceCountsAcrossSchedulers(t *testing.T) {
	dir := t.TempDir()
	line := func(at, rest string) string {
		return `{"time":"2026-12-01T10:00:0` + at + `Z","level":"DEBUG",` + rest + "}\n"
	}
	for name, text := range map[string]string{
		"n0.log": line("0", `"msg":"serving"`) + "0.1 " + line("0.1", `"msg":"send","job":1,"try":0,"server":"a","cold":true,"open":2`) +
			line("0.2", `"msg":"dial"`) + line("0.3", `"msg":"end","outcome":0`) + line("0.3", `"msg":"answer","kind":0`) +
			line("0.4", `"msg":"leaves","server":"a"`) +
			line("0.4", `"msg":"leaves","server":"b"`) + line("5", `"msg":"joins","server":"b"`) + "no JSON\n" + line("5.5", `"msg":"send","job":2,"try":0,"server":"b","open":4`),
		"n1.log": line("1", `"msg":"watch asked"`) + line("1.5", `"msg":"watch ended"`) +
			line("1.9", `"msg":"send","job":1,"try":0,"server":"a","cold":true,"open":0`) +
			line("2.2", `"msg":"send","job":1,"try":1,"server":"a","cold":true,"open":0`) + line("2.3", `"msg":"answer","kind":1`),
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	spans, skipped, err := Trace(dir, 5*time.Second)
	if err != nil || skipped != 1 {
		t.Fatalf("%d lines skipped, %v", skipped, err)
	}
	want := []*Span{
		{Jobs: 2, Sends: 3, ToCold: 3, Dials: 1, Served: 1, Refused: 1, ListCalls: 1, ListCallsFailed: 1, Open: 1,
			Outcomes: map[ravendale.Outcome]int{ravendale.OK: 1}, MostToOneCold: 2, ColdServers: 1},
		{From: 5 * time.Second, Jobs: 1, Sends: 1, Open: 4, Outcomes: map[ravendale.Outcome]int{}},
	}
	if diff := cmp.Diff(want, spans, cmpopts.IgnoreUnexported(Span{})); diff != "" {
		t.Error(diff)
	}
	var table strings.Builder
	if err := WriteTrace(&table, spans, 5*time.Second); err != nil || strings.Count(table.String(), "\n") != 3 {
		t.Errorf("%v\n%s", err, table.String())
	}
	if _, _, err := Trace(t.TempDir(), time.Second); err == nil || !strings.Contains(err.Error(), "no logs there") {
		t.Errorf("an empty folder: %v", err)
	}
}
