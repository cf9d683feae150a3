package simulation

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMessagesWithoutVersionUnderRandomFaults runs worlds whose edges accept messages as an earlier version of the
// program does, without the version of the configuration. No edge may decide about them by an older configuration
// either.
func TestMessagesWithoutVersionUnderRandomFaults(t *testing.T) {
	const worlds = 30
	tally := runWorlds(*fromFlag, worlds, acceptsWithoutVersion)
	require.Empty(t, tally.violations)
}
