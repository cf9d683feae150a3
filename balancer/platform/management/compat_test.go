package management

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"ravendale/balancer/http1"
	"ravendale/balancer/scheduler"
)

// The files in testdata/compat were written by version a08c060. They hold responses of the endpoint that operators' tools read.

func compatFile(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", "compat", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

var compatFigures = scheduler.Figures{
	Classes: map[string]scheduler.ClassFigures{"view": {Answered: 1, Deferred: 2, Errored: 3, Taken: 4}, "pay": {Answered: 5, Deferred: 6, Errored: 7, Taken: 8}},
	Sends:   9, Current: 10, Listed: 11, Avoided: 12, ConfLoaded: 13, ConfInvalid: 14,
	Unsent: [scheduler.NumUnsent]int{15, 16, 17, 18},
}

func TestGoldenFigures(t *testing.T) {
	if got, golden := Statsd("ravendale", compatFigures), compatFile(t, "vars.txt"); !bytes.Equal(got, golden) {
		t.Errorf("the figures are written as\n%s\nwant\n%s", got, golden)
	}
}

func TestGoldenEndpointResponses(t *testing.T) {
	var ready bool
	var calls []byte
	d := New(Options{
		Ready:   func() bool { return ready },
		Figures: func() []byte { return Statsd("ravendale", compatFigures) },
		SetDetached: func(worker string, out bool) bool {
			calls = append(calls, worker...)
			if out {
				calls = append(calls, " out\n"...)
			} else {
				calls = append(calls, " back\n"...)
			}
			return worker != "none"
		},
		Away: func(away bool) {
			if away {
				calls = append(calls, "away\n"...)
			} else {
				calls = append(calls, "not away\n"...)
			}
		},
	})
	var all []byte
	for _, call := range []struct{ method, target string }{{"GET", "/_ready"}, {"READY", ""}, {"GET", "/_ready?x=1"}, {"POST", "/_ready"}, {"GET", "/_vars"},
		{"POST", "/_lameduck/on"}, {"POST", "/_lameduck/off"}, {"GET", "/_lameduck/on"}, {"POST", "/_workers/detach/worker%2F1"},
		{"POST", "/_workers/attach/worker-1"}, {"POST", "/_workers/detach/none"}, {"POST", "/_workers/kill/worker-1"}, {"GET", "/_workers/detach/worker-1"},
		{"GET", "/none"}} {
		if call.method == "READY" {
			ready = true
			continue
		}
		status, content := d.serve(&http1.Request{Method: call.method, Target: call.target})
		all = append(append(append(append(all, call.method...), ' '), call.target...), '\n')
		all = http1.AppendResponse(all, status, http1.Header{{Name: "Connection", Value: "close"}}, content)
	}
	if golden := compatFile(t, "answers.txt"); !bytes.Equal(all, golden) {
		t.Errorf("the responses are written as\n%s\nwant\n%s", all, golden)
	}
	if want := "away\nnot away\nworker/1 out\nworker-1 back\nnone out\n"; string(calls) != want {
		t.Errorf("the calls were executed as\n%s\nwant\n%s", calls, want)
	}
}
