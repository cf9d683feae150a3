// Package deploy has no code; its test looks at what the deploy file's recipe builds.
package deploy

import (
	"debug/elf"
	"os"
	"slices"
	"strings"
	"testing"
)

// recipe is the part of the build that everybody who builds the program must share: one linked statically, or by Go's own
// linker, can't be started on the large fleet's days.
const recipe = "CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/..."

func TestOneRecipeBuildsTheProgram(t *testing.T) {
	for _, file := range []string{"balancer.toml", "../Makefile", "../README.md"} {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, "go build") && !strings.Contains(line, recipe) {
				t.Errorf("%s builds otherwise: %s", file, strings.TrimSpace(line))
			}
		}
	}
}

// The program has an interpreter and needs the C library, as the deploy page of the large fleet wants. The README's test command
// builds it before the tests.
func TestTheProgramIsLinkedDynamically(t *testing.T) {
	f, err := elf.Open("../bin/ravendale")
	if err != nil {
		t.Fatalf("%v: 'make build' makes it", err)
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("bin/ravendale has no interpreter: it is linked statically")
	}
	libraries, err := f.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(libraries, func(name string) bool { return strings.HasPrefix(name, "libc.so") }) {
		t.Errorf("bin/ravendale needs %v, not the C library", libraries)
	}
}
