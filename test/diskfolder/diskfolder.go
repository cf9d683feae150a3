package diskfolder

import (
	"os"
	"testing"
)

// memoryFolder is a file system in memory, where a machine has one.
const memoryFolder = "/dev/shm"

// New makes a folder that is removed at the test's end: in memory, if that can be had. A shared machine's own disk stalls for seconds now and
// then, which processes take for the failing disk that it is, and which no bound on the time of a test has room for. SIGKILL and lost disks
// mean the same in memory; a loss of power can't be played in such a folder.
func New(t testing.TB) string {
	t.Helper()
	folder, err := os.MkdirTemp(memoryFolder, "ravendale-test-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	return folder
}
