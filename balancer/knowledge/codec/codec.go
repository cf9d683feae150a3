package codec

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"ravendale/balancer/frames"
	"ravendale/balancer/knowledge"
)

// ErrContent is a content that makes no sense.
var ErrContent = errors.New("items that make no sense")

// Kinds of frames that hold items.
const (
	Full  frames.Kind = iota + 2 // all that the sender saw itself; 1 opens a connection
	Delta                        // what changed since
)

// Append writes items as the content of a frame.
func Append(b []byte, all []knowledge.Item) []byte {
	b = binary.AppendUvarint(b, uint64(len(all)))
	for _, w := range all {
		b = append(b, byte(w.Kind))
		b = binary.AppendUvarint(b, uint64(len(w.Name)))
		b = append(b, w.Name...)
		b = binary.AppendVarint(b, int64(w.Born))
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(w.Value))
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(w.Count))
		b = binary.AppendVarint(b, int64(w.Age))
	}
	return b
}

// minItem is the shortest that an item can be, in bytes.
const minItem = 1 + 1 + 1 + 8 + 8 + 1

// Read reads what Append wrote: all of it, or none and ErrContent.
func Read(b []byte) ([]knowledge.Item, error) {
	c := cursor{b: b}
	n := c.uvarint()
	if n > uint64(len(b))/minItem || n > knowledge.MaxItems {
		return nil, ErrContent // guards against a count that asks for more memory than the frame has bytes
	}
	all := make([]knowledge.Item, 0, n)
	for range n {
		var w knowledge.Item
		w.Kind = knowledge.Kind(c.byte())
		w.Name = string(c.take(c.uvarint()))
		w.Born = time.Duration(c.varint())
		w.Value, w.Count = math.Float64frombits(c.uint64()), math.Float64frombits(c.uint64())
		w.Age = time.Duration(c.varint())
		all = append(all, w)
	}
	if c.bad || len(c.b) > 0 {
		return nil, ErrContent
	}
	return all, nil
}

// cursor reads a content; bad tells once at the end that it did not hold what was asked for.
type cursor struct {
	b   []byte
	bad bool
}

func (c *cursor) take(n uint64) []byte {
	if n > uint64(len(c.b)) {
		c.bad, c.b = true, nil
		return nil
	}
	b := c.b[:n]
	c.b = c.b[n:]
	return b
}

func (c *cursor) byte() byte {
	if b := c.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (c *cursor) uint64() uint64 {
	if b := c.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (c *cursor) uvarint() uint64 {
	v, n := binary.Uvarint(c.b)
	c.take(uint64(max(n, 0)))
	c.bad = c.bad || n <= 0
	return v
}

func (c *cursor) varint() int64 {
	v, n := binary.Varint(c.b)
	c.take(uint64(max(n, 0)))
	c.bad = c.bad || n <= 0
	return v
}
