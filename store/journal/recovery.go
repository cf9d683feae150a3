package journal

import (
	"errors"
	"fmt"
	"os"
)

// recover reads all segments in order.
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
	if j.end == 0 { // its header was lost
		return j.create(j.newest)
	}
	return nil
}

// recoverSegment reads one segment, truncates the newest before its first bad record, and syncs it: what a killed process wrote is in the file,
// but need not be on disk.
func (j *Journal) recoverSegment(number uint32, newest bool, visit func(Location, []byte) error) error {
	file, err := os.OpenFile(j.path(number), os.O_RDWR, 0)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	j.files[number] = file
	good, err := scan(file, number, visit)
	if errors.Is(err, ErrDamaged) && newest {
		err = file.Truncate(int64(good))
	}
	if err == nil && newest {
		err = file.Sync()
	}
	if err != nil {
		return fmt.Errorf("journal: segment %d at byte %d: %w", number, good, err)
	}
	j.sizes[number] = good
	j.used += int64(good)
	return nil
}
