package deploy

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Tests listed in KNOWN-RED.txt are skipped by their exact names and printed; a malformed list fails the run.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../.ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	const a, b, c = "TestA | go test . -seed 7 | sends twice | 34\n", "TestB | go test . | never ends | 34\n", "TestC | go test . | leaks | 12\n"
	for name, tc := range map[string]struct{ list, skip, told string }{
		"absent":       {"-", "", ""},
		"empty":        {"", "", ""},
		"one":          {a, "^TestA$", "KNOWN RED, passed over: " + a},
		"no end":       {strings.TrimSpace(a), "^TestA$", "KNOWN RED, passed over: " + a},
		"three":        {a + b + c, "^TestA$|^TestB$|^TestC$", "KNOWN RED, passed over: TestC"},
		"four":         {a + b + c + a, "", "KNOWN-RED.txt: line 4: three tests at most"},
		"no issue":     {b + "TestA | go test . | sends twice\n", "", "line 2: not of the form"},
		"empty issue":  {"TestA | go test . | sends twice | \n", "", "line 1: not of the form"},
		"no cause":     {"TestA | go test . |  | 34\n", "", "line 1: not of the form"},
		"no command":   {"TestA |  | sends twice | 34\n", "", "line 1: not of the form"},
		"old form":     {"TestA | sends twice | 34\n", "", "line 1: not of the form"},
		"five fields":  {"TestA | go test . | sends twice | 34 | 35\n", "", "line 1: not of the form"},
		"a pattern":    {"Test.* | go test . | all of them | 34\n", "", "line 1: not of the form"},
		"blank":        {"\n" + a, "", "line 1: not of the form"},
		"nobody's":     {"TestD | go test . | is gone | 34\n", "", "line 1: TestD is the name of 0 tests"},
		"half a name":  {"Test | go test . | is the start of one | 34\n", "", "line 1: Test is the name of 0 tests"},
		"two bear it":  {"TestTwice | go test . | in two packages | 34\n", "", "line 1: TestTwice is the name of 2 tests"},
		"a help's one": {"TestHelp | go test . | is no test file's | 34\n", "", "line 1: TestHelp is the name of 0 tests"},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			files := map[string]string{"a_test.go": "func TestA(t *testing.T) {}\nfunc TestB(t *testing.T) {}\nfunc TestTwice(t *testing.T) {}\n",
				"b_test.go": "func TestC(t *testing.T) {}\nfunc TestTwice(t *testing.T) {}\n", "help.go": "func TestHelp() {}\n"}
			if tc.list != "-" {
				files["KNOWN-RED.txt"] = tc.list
			}
			for file, text := range files {
				if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			cmd := exec.Command("bash", script)
			cmd.Dir = dir
			var told strings.Builder
			cmd.Stderr = &told
			skip, err := cmd.Output()
			fails := strings.Contains(tc.told, ": ") && !strings.HasPrefix(tc.told, "KNOWN RED")
			if (err != nil) != fails || string(skip) != tc.skip || !strings.Contains(told.String(), tc.told) {
				t.Errorf("%q, %v, told %q", skip, err, told.String())
			}
		})
	}
}

// The test command in README passes the list to each go test that it runs.
func TestTheTestCommandReadsKnownRed(t *testing.T) {
	text, err := os.ReadFile("../README.md")
	if err != nil {
		t.Fatal(err)
	}
	_, command, _ := strings.Cut(string(text), "<!-- test command -->\n")
	command, _, _ = strings.Cut(command, "\n```\n")
	_, tests, found := strings.Cut(command, "skip=$(bash .ci/known-red)\n")
	if !found || strings.Count(command, "go test ") != strings.Count(tests, `-skip "$skip"`) {
		t.Error("a go test of the command is without the list:\n", command)
	}
}
