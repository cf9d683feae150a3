package state

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
)

//go:generate go run github.com/tinylib/msgp -file image.go -o image_gen.go -tests=false -unexported

//msgp:tuple image

// The parts of an encoded snapshot: the magic, the format number, the msgpack encoding of an image, and a checksum of
// all these.
const (
	magic        = "RVCS"
	formatNumber = 2
	headerSize   = len(magic) + 2
	checksumSize = 8
)

// maxSnapshot is the maximum size of an encoded snapshot in bytes.
const maxSnapshot = 256 << 20

// Errors of Restore. After an error the state of the machine is unchanged.
var (
	ErrDamaged = errors.New("state: the snapshot is damaged")
	ErrFormat  = errors.New("state: the snapshot has a format that is not known here")
)

// image is the content of an encoded snapshot.
type image struct {
	Document  []byte
	Version   uint64
	Sequence  uint64
	Placement *wire.StoreView
	Term      uint64
	Leader    string
	Edges     []wire.Edge
	History   []entry // oldest first
}

// Snapshot returns the complete state in encoded form, with a checksum.
func (m *Machine) Snapshot() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.Current()
	content := image{
		Document:  current.Document,
		Version:   current.Version,
		Sequence:  current.Sequence,
		Placement: current.Placement,
		Term:      current.Term,
		Leader:    current.Leader,
		Edges:     current.Edges,
		History:   m.history.oldestFirst(),
	}
	buffer := make([]byte, 0, headerSize+content.Msgsize()+checksumSize)
	buffer = append(buffer, magic...)
	buffer = binary.BigEndian.AppendUint16(buffer, formatNumber)
	buffer, err := content.MarshalMsg(buffer)
	if err != nil {
		return nil // unreachable: encoding an image can't fail
	}
	return binary.BigEndian.AppendUint64(buffer, xxhash.Sum64(buffer))
}

// Restore replaces the complete state by that of an encoded snapshot. Errors: ErrDamaged and ErrFormat, after which the
// state is unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	content, err := decodeImage(snapshot)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.parsed = nil
	m.history = history{entries: content.History, limit: m.history.limit}
	if m.mutations.dropsHistory {
		m.history.entries = nil
	}
	m.current.Store(&Snapshot{
		Document:  content.Document,
		Version:   content.Version,
		Sequence:  content.Sequence,
		Placement: content.Placement,
		Term:      content.Term,
		Leader:    content.Leader,
		Edges:     content.Edges,
	})
	return nil
}

func decodeImage(snapshot []byte) (*image, error) {
	if len(snapshot) < headerSize+checksumSize || len(snapshot) > maxSnapshot {
		return nil, fmt.Errorf("%w: %d bytes", ErrDamaged, len(snapshot))
	}
	body, sum := snapshot[:len(snapshot)-checksumSize], snapshot[len(snapshot)-checksumSize:]
	if string(body[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: it begins otherwise", ErrDamaged)
	}
	if binary.BigEndian.Uint64(sum) != xxhash.Sum64(body) {
		return nil, fmt.Errorf("%w: its checksum differs", ErrDamaged)
	}
	if number := binary.BigEndian.Uint16(body[len(magic):]); number != formatNumber {
		return nil, fmt.Errorf("%w: number %d", ErrFormat, number)
	}
	content := &image{}
	rest, err := content.UnmarshalMsg(body[headerSize:])
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, msgp.Cause(err))
	}
	if len(rest) > 0 || len(content.History) > historyLength {
		return nil, fmt.Errorf("%w: it holds more than it may", ErrDamaged)
	}
	if len(content.Document) == 0 {
		content.Document = nil
	}
	if len(content.Edges) == 0 {
		content.Edges = nil
	}
	return content, nil
}
