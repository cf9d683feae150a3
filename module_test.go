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

// The files that decide are those that the deploy file names, and no others but the interface; each is small, and told of in doc.go.
func TestModuleKeepsItsLimits(t *testing.T) {
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
		t.Errorf("policy names %v, and the files that decide are %v", named, deciding)
	}
	for _, name := range deciding {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(doc), "\n//\t"+name) {
			t.Errorf("doc.go does not tell what %s decides", name)
		}
		lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
		if len(lines) < 5 || len(lines) > maxLines {
			t.Errorf("%s has %d lines, at most %d are wanted", name, len(lines), maxLines)
		}
		for i, line := range lines {
			if width := utf8.RuneCountInString(line); width > maxWidth {
				t.Errorf("%s:%d is %d characters wide", name, i+1, width)
			}
		}
	}
}
