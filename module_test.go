package ravendale

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

// Checks that policy in the deploy file names exactly the deciding files, which are all except the interface, and that each of
// these is small and described in doc.go.
func TestPolicyFilesMatchDeployFileAndLimits(t *testing.T) {
	const maxLines, maxWidth = 200, 130 // of a file, of a line
	deploy, err := os.ReadFile("deploy/balancer.toml")
	_, policy, _ := strings.Cut(string(deploy), "\npolicy = ")
	policy, _, _ = strings.Cut(policy, "\n")
	var named []string // a list of strings in TOML is one in JSON
	err = errors.Join(err, json.Unmarshal([]byte(policy), &named))
	doc, docErr := os.ReadFile("doc.go")
	all, globErr := filepath.Glob("*.go")
	if err = errors.Join(err, docErr, globErr); err != nil {
		t.Fatal(err)
	}
	deciding := slices.DeleteFunc(all, func(name string) bool {
		return strings.HasSuffix(name, "_test.go") || slices.Contains([]string{"doc.go", "api.go", "settings.go", "snapshot.go"}, name)
	})
	slices.Sort(named)
	if !slices.Equal(named, deciding) {
		t.Errorf("policy names %v, want the deciding files %v", named, deciding)
	}
	for _, name := range deciding {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(doc), "\n//\t"+name) {
			t.Errorf("doc.go does not describe what %s decides", name)
		}
		lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
		if len(lines) < 5 || len(lines) > maxLines {
			t.Errorf("%s has %d lines, want at least 5 and at most %d", name, len(lines), maxLines)
		}
		for i, line := range lines {
			if width := utf8.RuneCountInString(line); width > maxWidth {
				t.Errorf("%s:%d is %d characters wide, want at most 130", name, i+1, width)
			}
		}
	}
}
