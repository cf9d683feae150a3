package lab

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestJudge(t *testing.T) {
	x, err := ParseExperiment("f", []byte(strings.Replace(small, "</experiment>", `<variant name="w"/>
		<expect figure="p99_ms" most="5"/><expect figure="throughput" variant="w" of="v" least="1.8" aim="true"/>
		<expect figure="broken" most="0" variant="w"/><expect figure="falls" most="0" phase="p" variant="v"/>
		<expect figure="extra" most="0" variant="v"/></experiment>`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	results := []Result{{Variant: "v", Phase: "p", Figures: map[string]float64{"p99_ms": 4, "throughput": 100, "falls": 1}},
		{Variant: "w", Phase: "p", Figures: map[string]float64{"p99_ms": 6, "throughput": 170, "broken": 0}}}
	want := []Verdict{
		{"v, p: p99_ms at most 5", 4, true, false},
		{"w, p: p99_ms at most 5", 6, false, false},
		{"w, p: throughput of that of v at least 1.8", 1.7, false, true},
		{"w, p: broken at most 0", 0, true, false},
		{"v, p: falls at most 0", 1, false, false},
		{"v, p: extra at most 0 (not measured)", 0, false, false},
	}
	if diff := cmp.Diff(want, x.Judge(results)); diff != "" {
		t.Error(diff)
	}
	// An expectation without a result counts as missed.
	for _, v := range x.Judge(results[:1]) {
		if strings.HasPrefix(v.Text, "nothing was played") && v.Held {
			t.Error(v)
		}
	}
}

// Every shipped experiment file parses, and errors in invalid ones name the line.
func TestExperimentFiles(t *testing.T) {
	files, err := filepath.Glob("../../experiments/*.xml")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := Parse(file, text); err != nil {
			t.Error(err)
		}
	}
	for from, want := range map[string]string{
		`effect="once"`:             `f:7: <class>: effect must be idempotent, keyed or once`,
		`callers="24"`:              `f:8: <phase>: exactly one of callers and rate must be above 0`,
		`count="3" speed="2"`:       `f:3: <nodes>: count must be 1 to 10000, speed and cores above 0, and slots 1 or more`,
		`<variant name="v"/>`:       `f:9: <expect>: figure must be one of`,
		`<phase name="p" `:          `f:8: <phase>: there is no attribute title`,
		`<rules cold-for="2s"/>`:    `f:2: <rules>: cold-for: "2" is no time`,
		`<experiment name="small">`: `f:1: <experiment>: the expectation on falls names an unknown variant or phase`,
	} {
		to := map[string]string{`effect="once"`: `effect="twice"`, `callers="24"`: `callers="24" rate="3"`, `count="3" speed="2"`: `count="0" speed="2"`,
			`<variant name="v"/>`: `<variant name="v"/><expect figure="none"/>`, `<phase name="p" `: `<phase name="p" title="x" `,
			`<rules cold-for="2s"/>`: `<rules cold-for="2"/>`, `<experiment name="small">`: `<experiment name="small"><expect figure="falls" phase="q"/>`}[from]
		_, err := ParseExperiment("f", []byte(strings.Replace(small, from, to, 1)))
		if err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: %v", to, err)
		}
	}
}

// The HTML report refers to no other resource, and shows every figure that is not 0.
func TestKeep(t *testing.T) {
	x, err := ParseExperiment("f", []byte(small))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	results := []Result{{Variant: "v", Phase: "p", Figures: map[string]float64{"p99_ms": 4.25, "throughput": 1234}}}
	if err := Keep(dir, x, ThisMachine(1, "abc", false), results, x.Judge(results)); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(dir, "report.html"))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "1234", "4.25", "commit abc", "Experiment small"} {
		if !strings.Contains(string(page), want) {
			t.Errorf("the report does not contain %q", want)
		}
	}
	if strings.Contains(strings.ReplaceAll(string(page), "http://www.w3.org", ""), "http") {
		t.Error("the report refers to an external resource")
	}
	table, err := os.ReadFile(filepath.Join(dir, "results.csv"))
	if lines := strings.Split(string(table), "\n"); err != nil || len(lines) != 3 || !strings.HasPrefix(lines[1], "v,p,1234,") {
		t.Error(err, string(table))
	}
}
