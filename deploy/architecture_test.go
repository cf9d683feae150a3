package deploy

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pathInCode is a path of the tree between back-quotes. Names on a machine's disk have capitals or stand alone.
var pathInCode = regexp.MustCompile("`([a-z0-9_.]+(?:/[a-z0-9_.]+)+)`")

// The pages that lead newcomers through the code name folders and files that are there.
func TestPagesNamePathsThatExist(t *testing.T) {
	for _, page := range []string{"../README.md", "../docs/architecture.md"} {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		paths := pathInCode.FindAllStringSubmatch(string(text), -1)
		require.NotEmpty(t, paths, page)
		for _, path := range paths {
			_, err := os.Stat(filepath.Join("..", path[1]))
			assert.NoError(t, err, page)
		}
	}
}
