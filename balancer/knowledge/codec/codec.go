package codec

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"ravendale/balancer/frames"
	"ravendale/balancer/knowledge"
)

// ErrContent reports an invalid encoding.
var ErrContent = errors.New("invalid encoding of knowledge items")

// Kinds of frames whose content is items.
const (
	Full  frames.Kind = iota + 2 // all own observations of the sender; kind 1 opens a connection
	Delta                        // what changed since the last frame
)

// Append appends the encoding of items.
func Append(b []byte, all []knowledge.Item) []byte {
	b = binary.AppendUvarint(b, uint64(len(all)))
	for _, item := range all {
		b = append(b, byte(item.Kind))
		b = binary.AppendUvarint(b, uint64(len(item.Name)))
		b = append(b, item.Name...)
		b = binary.AppendVarint(b, int64(item.Born))
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(item.Value))
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(item.Count))
		b = binary.AppendVarint(b, int64(item.Age))
	}
	return b
}

// minItemSize is the minimum size of an encoded item in bytes.
const minItemSize = 1 + 1 + 1 + 8 + 8 + 1

// Read decodes what Append wrote. It returns all items, or none and ErrContent.
func Read(b []byte) ([]knowledge.Item, error) {
	c := cursor{b: b}
	n := c.uvarint()
	if n > uint64(len(b))/minItemSize || n > knowledge.MaxItems {
		return nil, ErrContent // a forged count must not allocate more memory than the frame's size warrants
	}
	all := make([]knowledge.Item, 0, n)
	for range n {
		var item knowledge.Item
		item.Kind = knowledge.Kind(c.byte())
		item.Name = string(c.take(c.uvarint()))
		item.Born = time.Duration(c.varint())
		item.Value, item.Count = math.Float64frombits(c.uint64()), math.Float64frombits(c.uint64())
		item.Age = time.Duration(c.varint())
		all = append(all, item)
	}
	if c.failed || len(c.b) > 0 {
		return nil, ErrContent
	}
	return all, nil
}

// cursor reads values from b. After a failed read, bad is true and all values are zero, so that one check at the end is
// enough.
type cursor struct {
	b      []byte
	failed bool
}

func (c *cursor) take(n uint64) []byte {
	if n > uint64(len(c.b)) {
		c.failed, c.b = true, nil
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
	c.failed = c.failed || n <= 0
	return v
}

func (c *cursor) varint() int64 {
	v, n := binary.Varint(c.b)
	c.take(uint64(max(n, 0)))
	c.failed = c.failed || n <= 0
	return v
}
