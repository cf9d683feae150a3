package program

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// childVariable has the test binary be a process of the system.
const childVariable = "RAVENDALE_PROGRAM_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		Run("child", "A process that does nothing.", func(context.Context, Environment) error { return nil })
	}
	os.Exit(m.Run())
}

// The platform may tell a process of new settings while it starts: that does not end it. The settings are a pipe, so the process is known to
// be at their reading when the signal comes.
func TestAHangupDuringTheStartEndsNothing(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, syscall.Mkfifo(settings, 0o600))
	child := exec.Command(os.Args[0], "--settings", settings)
	child.Env = append(os.Environ(), childVariable+"=1")
	require.NoError(t, child.Start())
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0) // opens once the process reads
	require.NoError(t, err)
	require.NoError(t, child.Process.Signal(syscall.SIGHUP))
	_, err = pipe.WriteString("no settings")
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	var exit *exec.ExitError
	require.True(t, errors.As(child.Wait(), &exit))
	assert.Equal(t, ExitSettings, exit.ExitCode(), "%v", exit)
}
