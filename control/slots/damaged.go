package slots

import (
	"errors"
	"fmt"
	"io/fs"
)

// damagedPrefix is the name prefix of files that SetAside has renamed.
const damagedPrefix = "damaged-"

// DamagedName returns the name that SetAside gives to a file.
func DamagedName(name string) string { return damagedPrefix + name }

// SetAside renames a store's files, so that the folder appears unused and the damaged files remain available for
// inspection. It replaces files that were set aside earlier. The slots are renamed first: as long as a log has its
// name and its slot doesn't, the folder is reported as damaged, so a power loss in between never makes an older state
// appear intact.
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

// RemoveDamaged removes the files that were set aside, to free disk space.
func RemoveDamaged(folder Folder) error {
	for i := range slotNames {
		if err := errors.Join(folder.Remove(DamagedName(slotNames[i])), folder.Remove(DamagedName(logNames[i]))); err != nil {
			return fmt.Errorf("slots: %w", err)
		}
	}
	return folder.Sync()
}
