package deploy

import (
	"debug/elf"
	"os"
	"slices"
	"strings"
	"testing"
)

// Checks that all files build with the same recipe, and that its program has an ELF interpreter and links the C library
// dynamically: a program that is linked statically or by Go's internal linker can't be started on the large fleet's days. The
// README's test command builds the program before it runs the tests.
func TestProgramIsLinkedDynamically(t *testing.T) {
	const recipe = "CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/..."
	for _, file := range []string{"balancer.toml", "../Makefile", "../README.md"} {
		text, err := os.ReadFile(file)
		if builds := strings.Count(string(text), "go build"); err != nil || builds == 0 || builds != strings.Count(string(text), recipe) {
			t.Errorf("%s contains %d build commands, want at least one and all of them %q (%v)", file, builds, recipe, err)
		}
	}
	f, err := elf.Open("../bin/ravendale")
	if err != nil {
		t.Fatalf("%v: run 'make build' first", err)
	}
	defer func() { _ = f.Close() }()
	interpreter := f.Section(".interp") != nil
	if libraries, err := f.ImportedLibraries(); err != nil || !interpreter || !slices.Contains(libraries, "libc.so.6") {
		t.Errorf("bin/ravendale: has an interpreter: %v, imports the libraries %v (%v); want an interpreter and libc.so.6", interpreter, libraries, err)
	}
}
