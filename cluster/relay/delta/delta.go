package delta

//go:generate go run github.com/tinylib/msgp -file delta.go -o delta_gen.go -tests=false
//msgp:tuple Delta Step

import (
	"bytes"
	"errors"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Sizes in bytes.
const (
	block   = 24       // the shortest stretch that is looked for
	maxSize = 32 << 20 // of a result
)

// Errors of Apply.
var (
	ErrBase   = errors.New("delta: does not fit what it is applied to")
	ErrResult = errors.New("delta: result is not what it was made for")
)

// Delta makes a byte string out of another.
type Delta struct {
	Size  uint32 // bytes of the result
	Sum   uint64 // xxhash of the result
	Steps []Step
}

// Step appends to the result Length bytes of the base from Offset on, and then Data.
type Step struct {
	Offset uint32
	Length uint32
	Data   []byte
}

// Make returns the encoded Delta from base to result.
func Make(base, result []byte) ([]byte, error) {
	d := Delta{Size: uint32(len(result)), Sum: xxhash.Sum64(result)}
	prefix := commonPrefix(base, result)
	suffix := commonSuffix(base[prefix:], result[prefix:])
	b := builder{base: base}
	b.copied(0, prefix)
	b.middle(base[prefix:len(base)-suffix], prefix, result[prefix:len(result)-suffix])
	b.copied(len(base)-suffix, suffix)
	d.Steps = b.steps
	return d.MarshalMsg(nil)
}

// Apply returns what an encoded Delta makes of base.
func Apply(base, encoded []byte) ([]byte, error) {
	var d Delta
	if _, err := d.UnmarshalMsg(encoded); err != nil {
		return nil, err
	}
	if d.Size > maxSize {
		return nil, ErrResult
	}
	result := make([]byte, 0, d.Size)
	for _, step := range d.Steps {
		end := uint64(step.Offset) + uint64(step.Length)
		if end > uint64(len(base)) {
			return nil, ErrBase
		}
		if uint64(len(result))+uint64(step.Length)+uint64(len(step.Data)) > uint64(d.Size) {
			return nil, ErrResult
		}
		result = append(result, base[step.Offset:end]...)
		result = append(result, step.Data...)
	}
	if len(result) != int(d.Size) || xxhash.Sum64(result) != d.Sum {
		return nil, ErrResult
	}
	return result, nil
}

type builder struct {
	base  []byte
	steps []Step
}

func (b *builder) copied(offset, length int) {
	if length > 0 {
		b.steps = append(b.steps, Step{Offset: uint32(offset), Length: uint32(length)})
	}
}

func (b *builder) literal(data []byte) {
	if len(data) == 0 {
		return
	}
	if len(b.steps) == 0 || b.steps[len(b.steps)-1].Data != nil {
		b.steps = append(b.steps, Step{})
	}
	b.steps[len(b.steps)-1].Data = data
}

// middle adds steps for a part of the result, of stretches of a part of the base that begins at an offset.
func (b *builder) middle(base []byte, offset int, result []byte) {
	index := indexBlocks(base)
	from, at := 0, 0 // result[from:at] is not matched
	for at+block <= len(result) && len(index) > 0 {
		found, ok := index[xxhash.Sum64(result[at:at+block])]
		if !ok || !bytes.Equal(base[found:found+block], result[at:at+block]) {
			at++
			continue
		}
		back := commonSuffix(base[:found], result[from:at])
		ahead := commonPrefix(base[found:], result[at:])
		b.literal(result[from : at-back])
		b.copied(offset+found-back, back+ahead)
		at += ahead
		from = at
	}
	b.literal(result[from:])
}

// indexBlocks finds the blocks of base, at multiples of their size, by their hash; the first of equal ones.
func indexBlocks(base []byte) map[uint64]int {
	if len(base) < block || len(base) > math.MaxUint32 {
		return nil
	}
	index := make(map[uint64]int, len(base)/block)
	for at := 0; at+block <= len(base); at += block {
		hash := xxhash.Sum64(base[at : at+block])
		if _, taken := index[hash]; !taken {
			index[hash] = at
		}
	}
	return index
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := 0; i < n; i++ {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := 1; i <= n; i++ {
		if a[len(a)-i] != b[len(b)-i] {
			return i - 1
		}
	}
	return n
}
