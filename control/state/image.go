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

// An encoded snapshot: the magic, the format's number, the msgpack of an image, and a checksum of all that.
const (
	magic        = "RVCS"
	formatNumber = 2
	headSize     = len(magic) + 2
	checksumSize = 8
)

// maxSnapshot bounds an encoded snapshot, in bytes.
const maxSnapshot = 256 << 20

// Errors of Restore. After any error the machine is as it was.
var (
	ErrDamaged = errors.New("state: the snapshot is damaged")
	ErrFormat  = errors.New("state: the snapshot has a format that is not known here")
)

// image is what a snapshot holds.
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

// Snapshot returns the complete state, encoded, with a checksum.
func (m *Machine) Snapshot() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Current()
	content := image{
		Document:  now.Document,
		Version:   now.Version,
		Sequence:  now.Sequence,
		Placement: now.Placement,
		Term:      now.Term,
		Leader:    now.Leader,
		Edges:     now.Edges,
		History:   m.history.inOrder(),
	}
	buffer := make([]byte, 0, headSize+content.Msgsize()+checksumSize)
	buffer = append(buffer, magic...)
	buffer = binary.BigEndian.AppendUint16(buffer, formatNumber)
	buffer, err := content.MarshalMsg(buffer)
	if err != nil {
		return nil // can't be: an image has nothing that could fail
	}
	return binary.BigEndian.AppendUint64(buffer, xxhash.Sum64(buffer))
}

// Restore replaces the complete state by that of a snapshot. Errors: ErrDamaged and ErrFormat, after which the state is as it was.
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
	if len(snapshot) < headSize+checksumSize || len(snapshot) > maxSnapshot {
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
	rest, err := content.UnmarshalMsg(body[headSize:])
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
