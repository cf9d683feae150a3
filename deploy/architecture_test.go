package deploy

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pathInCode matches a repository path between back-quotes. Names of files on a machine's disk contain capitals or no slash, so
// it doesn't match them.
var pathInCode = regexp.MustCompile("`([a-z0-9_.]+(?:/[a-z0-9_.]+)+)`")

// Checks that the folders and files named in the introductory pages exist.
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
