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

// childProcessEnv is the environment variable that makes the test binary run as a process of the system.
const childProcessEnv = "RAVENDALE_PROGRAM_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childProcessEnv) != "" {
		Run("child", "A process that does nothing.", func(context.Context, Environment) error { return nil })
	}
	os.Exit(m.Run())
}

// The platform may announce new settings by SIGHUP while a process starts, which must not terminate it. The settings
// file is a named pipe, so that the process is known to be reading it when the signal is sent.
func TestHangupDuringStartIsIgnored(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, syscall.Mkfifo(settings, 0o600))
	child := exec.Command(os.Args[0], "--settings", settings)
	child.Env = append(os.Environ(), childProcessEnv+"=1")
	require.NoError(t, child.Start())
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0) // blocks until the process opens the pipe for reading
	require.NoError(t, err)
	require.NoError(t, child.Process.Signal(syscall.SIGHUP))
	_, err = pipe.WriteString("no settings")
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	var exit *exec.ExitError
	require.True(t, errors.As(child.Wait(), &exit))
	assert.Equal(t, ExitSettings, exit.ExitCode(), "%v", exit)
}
