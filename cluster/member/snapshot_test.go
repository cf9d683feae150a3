package member

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravendale/cluster/wire"
)

const smallConfig = `{"version":3,"routes":[],"backends":[],"limits":{}}`

// A store only relays the configuration, so it should not spend time and memory on parsing it.
func TestOnlyEdgesParseConfig(t *testing.T) {
	version := wire.Version{Sequence: 3}
	for _, edge := range []bool{true, false} {
		snapshot, err := (&Snapshot{}).with(wire.TopicConfig, version, []byte(smallConfig), edge)
		require.NoError(t, err)
		assert.Equal(t, version, snapshot.Versions[wire.TopicConfig])
		assert.Equal(t, edge, snapshot.Catalog != nil)
	}
}
