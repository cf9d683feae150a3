package slots

import (
	"errors"
	"fmt"
	"io/fs"
)

// damagedPrefix begins the names of files that were set aside.
const damagedPrefix = "damaged-"

// DamagedName is the name under which SetAside keeps a file.
func DamagedName(name string) string { return damagedPrefix + name }

// SetAside renames a store's files, so that the folder is as if it had never been used and what is left can still be looked at. Files that were
// set aside earlier are replaced. The slots go first: while any log has its name and its slot has not, the folder counts as damaged, so
// that a loss of power on the way never leaves an older state that seems intact.
func SetAside(folder Folder) error {
	for _, names := range [][2]string{slotNames, logNames} {
		for _, name := range names {
			if err := folder.Rename(name, DamagedName(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return fmt.Errorf("slots: %w", err)
			}
		}
		if err := folder.Sync(); err != nil {
			return fmt.Errorf("slots: %w", err)
		}
	}
	return nil
}

// RemoveDamaged removes what was set aside, so that the disk has capacity again.
func RemoveDamaged(folder Folder) error {
	for i := range slotNames {
		if err := errors.Join(folder.Remove(DamagedName(slotNames[i])), folder.Remove(DamagedName(logNames[i]))); err != nil {
			return fmt.Errorf("slots: %w", err)
		}
	}
	return folder.Sync()
}
