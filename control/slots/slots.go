package slots

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

// Errors of a store. OpenFolder returns ErrDamaged if synced data can't be read. Writes return ErrFailed from the
// first failed write until Snapshot succeeds.
var (
	ErrDamaged = errors.New("slots: what was synced can't be read any more")
	ErrFailed  = errors.New("slots: a write failed, and only a whole snapshot can follow")
)

// A record consists of its length (4 bytes), its generation (8), the checksum (8) over both and the content, and the
// content.
const (
	headerBytes    = 4 + 8 + 8
	maxRecordBytes = 1 << 30
)

// Names of the files; a generation uses those of its parity.
var (
	slotNames = [2]string{"slot-0", "slot-1"}
	logNames  = [2]string{"log-0", "log-1"}
)

// FileNames returns the names of the slot and the log that generations of a parity use.
func FileNames(parity int) (slot, log string) { return slotNames[parity], logNames[parity] }

// Store is an open store. It is not safe for concurrent use.
//
// After an error of Append or Snapshot it is unknown which part of that write is on disk; everything written before
// is. The store then accepts only a complete snapshot, which goes to the other slot and begins a new log, so that no
// record ever follows one that may be torn.
type Store struct {
	folder         Folder
	generation     uint64
	log            File
	size           int64
	buffer         []byte
	err            error
	closed         bool
	readableSlots  int    // number of slots that could be read
	newestLog      uint64 // newest generation whose log has its first record
	newestUnsynced bool   // the newest slot may not be durable, but the other one is
}

// Open opens the store in a directory of the operating system, and creates the directory if it does not exist.
func Open(folder string) (store *Store, snapshot []byte, records [][]byte, err error) {
	if err := os.MkdirAll(folder, folderMode); err != nil && !errors.Is(err, unix.ENOSPC) {
		return nil, nil, nil, fmt.Errorf("slots: %w", err)
	}
	return OpenFolder(OSFolder(folder))
}

// OpenFolder opens the store in a folder, and returns the newest snapshot, nil if there was never any, and the
// records after it. Both are on disk, unless Err reports that they could be read but not synced; they may then be
// lost until a Snapshot succeeds. The error is ErrDamaged if data that had been synced is lost.
func OpenFolder(folder Folder) (store *Store, snapshot []byte, records [][]byte, err error) {
	s := &Store{folder: folder}
	if snapshot, err = s.readSlots(); err != nil {
		return nil, nil, nil, err
	}
	if s.generation == 0 {
		return s, nil, nil, nil
	}
	records, size, err := s.readLog()
	if err != nil {
		return nil, nil, nil, err
	}
	if err := s.makeDurable(size); err != nil {
		_ = s.fail(err)
		s.newestUnsynced = s.newestLog < s.generation && s.readableSlots == len(slotNames) && !mutations.AssumeNewestDurable
	}
	return s, snapshot, records, nil
}

// Err returns the failure that makes the store accept only Snapshot, nil if there is none.
func (s *Store) Err() error { return s.err }

func parity(generation uint64) int { return int(generation % 2) }

// readSlots finds the newer intact slot. A log with its first record shows that the slot of its generation was
// synced.
func (s *Store) readSlots() (snapshot []byte, err error) {
	for i := range slotNames {
		content, generation, err := s.readSlot(slotNames[i])
		if err != nil {
			return nil, err
		}
		if generation > 0 && parity(generation) == i {
			s.readableSlots++
			if generation > s.generation {
				s.generation, snapshot = generation, content
			}
		}
		generation, err = s.logGeneration(logNames[i])
		if err != nil {
			return nil, err
		}
		s.newestLog = max(s.newestLog, generation)
	}
	if s.newestLog > s.generation {
		return nil, fmt.Errorf("%w: the log of generation %d has no slot", ErrDamaged, s.newestLog)
	}
	return snapshot, nil
}

func (s *Store) readSlot(name string) (content []byte, generation uint64, err error) {
	data, err := s.read(name)
	if err != nil {
		return nil, 0, err
	}
	content, generation, rest, ok := cutRecord(data)
	if !ok && mutations.AcceptTornSlot && len(data) > headerBytes {
		return data[headerBytes:], binary.LittleEndian.Uint64(data[4:]), nil
	}
	if !ok || len(rest) > 0 {
		return nil, 0, nil
	}
	return content, generation, nil
}

// logGeneration returns the generation of a log, 0 if its first record is not intact. That record is empty and shows
// that the slot of its generation is on disk.
func (s *Store) logGeneration(name string) (uint64, error) {
	data, err := s.read(name)
	if err != nil {
		return 0, err
	}
	_, generation, _, ok := cutRecord(data)
	if !ok {
		return 0, nil
	}
	return generation, nil
}

func (s *Store) read(name string) ([]byte, error) {
	data, err := s.folder.Read(name)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("slots: %w", err)
	}
	return data, nil
}

// readLog returns the intact records that follow the newest slot, and their size in bytes in the log.
func (s *Store) readLog() (records [][]byte, size int64, err error) {
	data, err := s.read(logNames[parity(s.generation)])
	if err != nil {
		return nil, 0, err
	}
	rest := data
	for first := true; ; first = false {
		content, generation, tail, ok := cutRecord(rest)
		if !ok || generation != s.generation {
			return records, int64(len(data) - len(rest)), nil
		}
		if !first {
			records = append(records, content)
		}
		rest = tail
	}
}

// makeDurable syncs the slot and the log that were read, since a process may have written them and been killed before
// it synced. It also truncates the log after the last intact record, or begins the log.
func (s *Store) makeDurable(size int64) error {
	name := slotNames[parity(s.generation)]
	content, err := s.read(name)
	if err != nil {
		return err
	}
	slot, err := s.folder.Open(name, int64(len(content)))
	if err != nil {
		return fmt.Errorf("slots: %w", err)
	}
	if err := errors.Join(slot.Sync(), slot.Close()); err != nil {
		return fmt.Errorf("slots: %w", err)
	}
	if s.readableSlots < len(slotNames) && !mutations.KeepUnreadableSlot {
		if err := s.truncateSlot(slotNames[1-parity(s.generation)]); err != nil {
			return err
		}
	}
	return s.openLog(size)
}

// truncateSlot empties an unreadable slot and syncs it. Whatever made the slot unreadable may not have been synced:
// after a power loss the slot of a later generation could be readable again, with an older state than the records
// that this generation's log has received meanwhile.
func (s *Store) truncateSlot(name string) error {
	content, err := s.read(name)
	if err != nil || len(content) == 0 {
		return err
	}
	slot, err := s.folder.Open(name, 0)
	if err != nil {
		return fmt.Errorf("slots: %w", err)
	}
	if err := errors.Join(slot.Sync(), slot.Close()); err != nil {
		return fmt.Errorf("slots: %w", err)
	}
	return nil
}

func (s *Store) openLog(size int64) error {
	log, err := s.folder.Open(logNames[parity(s.generation)], size)
	if err != nil {
		return fmt.Errorf("slots: %w", err)
	}
	s.log, s.size = log, size
	if size == 0 {
		if err := s.writeLog(appendRecord(nil, s.generation, nil)); err != nil {
			return err
		}
	} else if err := log.Sync(); err != nil {
		return fmt.Errorf("slots: %w", err)
	}
	if err := s.folder.Sync(); err != nil {
		return fmt.Errorf("slots: %w", err)
	}
	return nil
}

// LogSize returns the log's length in bytes. Callers write a snapshot when the log is long.
func (s *Store) LogSize() int64 { return s.size }

// Append adds records to the log with one write and one sync. A snapshot must have been written before. After an
// error the records may or may not be there when the store is opened again, and Append fails with ErrFailed until
// Snapshot succeeds.
func (s *Store) Append(records ...[]byte) error {
	if s.err != nil {
		return s.err
	}
	if s.log == nil {
		return errors.New("slots: records need a snapshot to follow")
	}
	s.buffer = s.buffer[:0]
	for _, record := range records {
		s.buffer = appendRecord(s.buffer, s.generation, record)
	}
	if err := s.writeLog(s.buffer); err != nil {
		return s.fail(err)
	}
	if cap(s.buffer) > maxRetainedBuffer {
		s.buffer = nil
	}
	return nil
}

const maxRetainedBuffer = 16 << 10

func (s *Store) writeLog(data []byte) error {
	if _, err := s.log.Write(data); err != nil {
		return fmt.Errorf("slots: %w", err)
	}
	if err := s.log.Sync(); err != nil {
		return fmt.Errorf("slots: %w", err)
	}
	s.size += int64(len(data))
	return nil
}

// Snapshot replaces the stored state and records by a new state, and begins a new log. After an error the previous
// state and records may still be what is read when the store is opened, and only Snapshot may be called.
func (s *Store) Snapshot(state []byte) error {
	if s.closed {
		return s.err
	}
	if err := s.writeSnapshot(state); err != nil {
		return s.fail(err)
	}
	s.err = nil
	return nil
}

// nextGeneration returns the generation of the next snapshot. The snapshot never overwrites the only slot that is
// known to be durable. That is the newest slot, if its log has begun or if the other slot was being written. But if
// the newest slot could not be synced when the store was opened, a process may have left it behind that was killed
// before its sync; then that slot itself is overwritten.
func (s *Store) nextGeneration() uint64 {
	if s.newestUnsynced {
		return s.generation + 2
	}
	return s.generation + 1
}

func (s *Store) writeSnapshot(state []byte) error {
	next := s.nextGeneration()
	slot, err := s.folder.Open(slotNames[parity(next)], 0)
	if err != nil {
		return fmt.Errorf("slots: %w", err)
	}
	_, err = slot.Write(appendRecord(nil, next, state))
	if err == nil {
		err = slot.Sync()
	}
	if err := errors.Join(err, slot.Close()); err != nil {
		return fmt.Errorf("slots: %w", err)
	}
	s.generation, s.newestUnsynced = next, false
	if s.log != nil {
		_ = s.log.Close() // the new slot supersedes the log
		s.log = nil
	}
	return s.openLog(0)
}

// Close closes the log file. Everything written is on disk already.
func (s *Store) Close() error {
	s.err, s.closed = errors.Join(s.err, ErrFailed), true
	if s.log == nil {
		return nil
	}
	return s.log.Close()
}

func (s *Store) fail(err error) error {
	s.err = fmt.Errorf("%w: %w", ErrFailed, err)
	return s.err
}

func appendRecord(buffer []byte, generation uint64, content []byte) []byte {
	at := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(content)))
	buffer = binary.LittleEndian.AppendUint64(buffer, generation)
	buffer = binary.LittleEndian.AppendUint64(buffer, checksum(buffer[at:], content))
	return append(buffer, content...)
}

// cutRecord splits the first record off data. Ok is false if that record is not intact.
func cutRecord(data []byte) (content []byte, generation uint64, rest []byte, ok bool) {
	if len(data) < headerBytes {
		return nil, 0, nil, false
	}
	length := int64(binary.LittleEndian.Uint32(data))
	if length > maxRecordBytes || length > int64(len(data)-headerBytes) {
		return nil, 0, nil, false
	}
	content = data[headerBytes : headerBytes+length]
	if checksum(data[:headerBytes-8], content) != binary.LittleEndian.Uint64(data[headerBytes-8:]) {
		return nil, 0, nil, false
	}
	return content, binary.LittleEndian.Uint64(data[4:]), data[headerBytes+length:], true
}

func checksum(head, content []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(head)
	_, _ = digest.Write(content)
	return digest.Sum64()
}
