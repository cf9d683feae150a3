package diskfolder

import (
	"os"
	"testing"
)

// memoryFolder is the mount point of an in-memory file system on machines that have one.
const memoryFolder = "/dev/shm"

// New creates a folder that is removed at the end of the test. The folder is in memory if possible: the disk of a shared machine
// occasionally stalls for seconds, which the processes under test rightly treat as a disk failure and which exceeds the time
// limits of the tests. SIGKILL and the loss of a disk have the same effect in memory; a power failure can't be tested there.
func New(t testing.TB) string {
	t.Helper()
	folder, err := os.MkdirTemp(memoryFolder, "ravendale-test-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	return folder
}
