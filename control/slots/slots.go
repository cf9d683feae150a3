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

// Errors of a store. ErrDamaged is of Open: the disk had more than can be read. ErrFailed is of writes, until Snapshot works.
var (
	ErrDamaged = errors.New("slots: what was synced can't be read any more")
	ErrFailed  = errors.New("slots: a write failed, and only a whole snapshot can follow")
)

// A record is its length (4 bytes), its generation (8), the checksum (8) over both and the content, and the content.
const (
	headerBytes    = 4 + 8 + 8
	maxRecordBytes = 1 << 30
)

// Names of the files; a generation uses those of its parity.
var (
	slotNames = [2]string{"slot-0", "slot-1"}
	logNames  = [2]string{"log-0", "log-1"}
)

// Names returns the names of the slot and of the log that generations of a parity use.
func Names(parity int) (slot, log string) { return slotNames[parity], logNames[parity] }

// Store is an open store. It is not safe for use by several goroutines at once.
//
// After an error of Append or Snapshot nobody knows what of the write is on disk: all before it is. The store then takes only a whole
// snapshot, which goes to the other slot and begins another log, so that nothing ever follows a record that may be torn.
type Store struct {
	folder         Folder
	generation     uint64
	log            File
	size           int64
	buffer         []byte
	err            error
	closed         bool
	readableSlots  int    // slots that could be read
	newestLog      uint64 // newest generation whose log has begun
	newestUnsynced bool   // the newest slot may not be durable, and the other is
}

// Open opens the store in a folder of the operating system, which is made if there is none.
func Open(folder string) (store *Store, snapshot []byte, records [][]byte, err error) {
	if err := os.MkdirAll(folder, folderMode); err != nil && !errors.Is(err, unix.ENOSPC) {
		return nil, nil, nil, fmt.Errorf("slots: %w", err)
	}
	return OpenFolder(OSFolder(folder))
}

// OpenFolder opens the store in a folder, and returns the newest snapshot, nil if there was never any, and the records after it.
// All that it returns is on disk, unless Err says that it could be read and not be synced: then it may be lost until a Snapshot has worked.
// The error is ErrDamaged if something that had been synced is lost.
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
		s.newestUnsynced = s.newestLog < s.generation && s.readableSlots == len(slotNames) && !mutations.ForgetDoubt
	}
	return s, snapshot, records, nil
}

// Err is the failure after which only Snapshot is taken, nil if there is none.
func (s *Store) Err() error { return s.err }

func parity(generation uint64) int { return int(generation % 2) }

// readSlots finds the newer good slot. A log that has begun shows that the slot of its generation was synced.
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
	if !ok && mutations.TrustTorn && len(data) > headerBytes {
		return data[headerBytes:], binary.LittleEndian.Uint64(data[4:]), nil
	}
	if !ok || len(rest) > 0 {
		return nil, 0, nil
	}
	return content, generation, nil
}

// logGeneration reads the first record of a log, which is empty and shows that the slot of its generation is on disk.
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

// readLog returns the good records that follow the newest slot, and how many bytes of the log they are.
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

// makeDurable syncs all that was read: it may have been written by a process that was killed before it synced. Then it truncates
// the log after what was read, or begins the log.
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
	if s.readableSlots < len(slotNames) && !mutations.KeepGhosts {
		if err := s.clear(slotNames[1-parity(s.generation)]); err != nil {
			return err
		}
	}
	return s.openLog(size)
}

// clear makes it durable that a slot is not readable. What made it so may not have been synced: a loss of power could bring back a slot of a later
// generation, with a state older than what will have followed in the log of this one.
func (s *Store) clear(name string) error {
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
		if err := s.write(appendRecord(nil, s.generation, nil)); err != nil {
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

// Size is the log's length in bytes: time for a snapshot when it is long.
func (s *Store) Size() int64 { return s.size }

// Append adds records to the log by one write and one sync. After an error they may or may not be there when the store is opened again,
// and until Snapshot has worked Append fails with ErrFailed. There must have been a snapshot.
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
	if err := s.write(s.buffer); err != nil {
		return s.fail(err)
	}
	if cap(s.buffer) > maxKeptBuffer {
		s.buffer = nil
	}
	return nil
}

const maxKeptBuffer = 16 << 10

func (s *Store) write(data []byte) error {
	if _, err := s.log.Write(data); err != nil {
		return fmt.Errorf("slots: %w", err)
	}
	if err := s.log.Sync(); err != nil {
		return fmt.Errorf("slots: %w", err)
	}
	s.size += int64(len(data))
	return nil
}

// Snapshot replaces all that is kept by a state, and begins a new log. After an error what was kept before may still be what is found, and
// only Snapshot may be called.
func (s *Store) Snapshot(state []byte) error {
	if s.closed {
		return s.err
	}
	if err := s.snapshot(state); err != nil {
		return s.fail(err)
	}
	s.err = nil
	return nil
}

// next is the generation that is written next. It never overwrites the only slot that is known to be durable. That is the newest, if
// its log has begun, or if the other was being written; but a newest slot that could not be synced when the store was opened may be
// what a process left behind that was killed before its sync, and is written anew itself.
func (s *Store) next() uint64 {
	if s.newestUnsynced {
		return s.generation + 2
	}
	return s.generation + 1
}

func (s *Store) snapshot(state []byte) error {
	next := s.next()
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
		_ = s.log.Close() // the slot replaces it
		s.log = nil
	}
	return s.openLog(0)
}

// Close gives the files back. All that was written is on disk already.
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

// cutRecord takes the first record off data, if it is good.
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
