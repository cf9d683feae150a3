package servertable

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"ravendale"
)

// An invalid list must leave the table unchanged and not reach the module: a half-applied list would lack servers, or miss that
// they drain.
func TestInvalidListLeavesTableUnchanged(t *testing.T) {
	const whole = `{"seq":41,"whole":true,"hosts":[{"host":"a","dial":"10.1.0.1:9000","site":"x","health":"in_service"},` +
		`{"host":"b","dial":"10.1.0.2:9000","site":"y","block":2,"health":"in_service","share":5.0,"born_ms":7}]}`
	heard := 0
	table := New(Options{Log: slog.New(slog.DiscardHandler), Listed: func(ravendale.ListKind, []ravendale.Entry) { heard++ }})
	state := func() string {
		text, err := table.List()
		return fmt.Sprint(string(text), err)
	}
	if err := table.Recall([]byte(whole)); err != nil {
		t.Fatal(err)
	}
	before, change := state(), strings.NewReplacer("41", "42", "in_service", "terminating", "10.1.0", "10.9.9").Replace(whole)
	bad := []string{strings.Replace(change, `"b"`, `""`, 1), strings.Replace(change, "42", `"x"`, 1)}
	for cut := range len(change) {
		bad = append(bad, change[:cut])
	}
	for _, text := range bad {
		if err := table.take([]byte(text), false); err == nil || heard != 1 || state() != before {
			t.Fatalf("%s\nerror %v; %d lists reported, table is %s\nwant %s", text, err, heard, state(), before)
		}
	}
	if err := table.take([]byte(change), false); err != nil || heard != 2 || state() == before {
		t.Errorf("valid list: %d lists reported, error %v", heard, err)
	}
}
