package deploy

import (
	"debug/elf"
	"os"
	"slices"
	"strings"
	"testing"
)

// Everybody builds by one recipe, and what it builds has an interpreter and needs the C library: what is linked statically or by
// Go's own linker can't be started on the large fleet's days. The README's test command builds before it tests.
func TestOneRecipeLinksTheProgramDynamically(t *testing.T) {
	const recipe = "CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/..."
	for _, file := range []string{"balancer.toml", "../Makefile", "../README.md"} {
		text, err := os.ReadFile(file)
		if builds := strings.Count(string(text), "go build"); err != nil || builds == 0 || builds != strings.Count(string(text), recipe) {
			t.Errorf("%s builds %d times, not always by %q (%v)", file, builds, recipe, err)
		}
	}
	f, err := elf.Open("../bin/ravendale")
	if err != nil {
		t.Fatalf("%v: 'make build' makes it", err)
	}
	defer func() { _ = f.Close() }()
	interpreter := f.Section(".interp") != nil
	if libraries, err := f.ImportedLibraries(); err != nil || !interpreter || !slices.Contains(libraries, "libc.so.6") {
		t.Errorf("bin/ravendale has an interpreter: %v; it needs %v (%v)", interpreter, libraries, err)
	}
}
