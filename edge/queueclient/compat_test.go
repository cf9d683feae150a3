package queueclient

import (
	"math"
	"os"
	"path/filepath"
	"strconv"
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
		name := c.newID(partition, 0)
		found, ok := wire.PartitionOf(name)
		assert.True(t, ok)
		assert.Equal(t, partition, found)
		assert.Zero(t, wire.ConfigVersionOf(name))
		names.WriteString(name + "\n")
	}
	assert.Equal(t, string(text), names.String())
}

// The ID of a message carries the configuration version through processes of any version of the program, so an ID with
// one must stay an ID of the same partition, and must fit.
func TestMessageIDWithConfigVersion(t *testing.T) {
	c := &Client{incarnation: strconv.FormatUint(math.MaxUint64>>16, 36)}
	for _, version := range []uint64{1, 36, 71, math.MaxUint64} {
		c.issuedIDs.Store(math.MaxUint64 - 1)
		name := c.newID(math.MaxUint16, version)
		partition, ok := wire.PartitionOf(name)
		assert.True(t, ok, name)
		assert.EqualValues(t, math.MaxUint16, partition)
		assert.Equal(t, version, wire.ConfigVersionOf(name))
		c.issuedIDs.Store(math.MaxUint64 - 1)
		assert.Equal(t, c.newID(math.MaxUint16, 0)+"_"+strconv.FormatUint(version, 36), name)
	}
}
