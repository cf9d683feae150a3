package journal

import (
	"errors"
	"fmt"
	"os"
)

// recover reads all segments in order, and creates the first one in an empty folder.
func (j *Journal) recover(visit func(Location, []byte) error) error {
	numbers, err := j.segments()
	if err != nil {
		return err
	}
	for i, number := range numbers {
		newest := i == len(numbers)-1
		if err := j.recoverSegment(number, newest, visit); err != nil {
			return err
		}
	}
	if len(numbers) == 0 {
		j.oldest = 1
		return j.create(1)
	}
	j.oldest, j.newest = numbers[0], numbers[len(numbers)-1]
	j.end = j.sizes[j.newest]
	if j.end == 0 { // the header of the newest segment was not written completely
		return j.create(j.newest)
	}
	return nil
}

// recoverSegment reads one segment. It truncates the newest segment at its first invalid record and syncs it: a killed
// process may have written data that is in the page cache but not on disk.
func (j *Journal) recoverSegment(number uint32, newest bool, visit func(Location, []byte) error) error {
	file, err := os.OpenFile(j.path(number), os.O_RDWR, 0)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	j.files[number] = file
	validEnd, err := scan(file, number, visit)
	if errors.Is(err, ErrDamaged) && newest {
		err = file.Truncate(int64(validEnd))
	}
	if err == nil && newest {
		err = file.Sync()
	}
	if err != nil {
		return fmt.Errorf("journal: segment %d at byte %d: %w", number, validEnd, err)
	}
	j.sizes[number] = validEnd
	j.used += int64(validEnd)
	return nil
}
