package queueclient

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

func TestMessageIDFormat(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "compat", "message-names.txt"))
	require.NoError(t, err)
	c := &Client{incarnation: "3k9z0"}
	var names strings.Builder
	for i, partition := range []uint16{0, 1, 4095, 65535} {
		c.issuedIDs.Store(uint64(i * 40))
		name := c.newID(partition)
		found, ok := wire.PartitionOf(name)
		assert.True(t, ok)
		assert.Equal(t, partition, found)
		names.WriteString(name + "\n")
	}
	assert.Equal(t, string(text), names.String())
}
