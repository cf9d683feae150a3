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
	blockSize = 24       // of the indexed blocks of the base; shorter matches are found only at the ends
	maxSize   = 32 << 20 // of a result that Apply accepts
)

// Errors of Apply.
var (
	ErrBaseTooShort   = errors.New("delta: step reads beyond the end of the base")
	ErrResultMismatch = errors.New("delta: result is too long or does not match its size or checksum")
)

// Delta describes how to construct a byte string from a base.
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
	b.addCopy(0, prefix)
	b.addMiddle(base[prefix:len(base)-suffix], prefix, result[prefix:len(result)-suffix])
	b.addCopy(len(base)-suffix, suffix)
	d.Steps = b.steps
	return d.MarshalMsg(nil)
}

// Apply returns the result of applying an encoded Delta to base.
func Apply(base, encoded []byte) ([]byte, error) {
	var d Delta
	if _, err := d.UnmarshalMsg(encoded); err != nil {
		return nil, err
	}
	if d.Size > maxSize {
		return nil, ErrResultMismatch
	}
	result := make([]byte, 0, d.Size)
	for _, step := range d.Steps {
		end := uint64(step.Offset) + uint64(step.Length)
		if end > uint64(len(base)) {
			return nil, ErrBaseTooShort
		}
		if uint64(len(result))+uint64(step.Length)+uint64(len(step.Data)) > uint64(d.Size) {
			return nil, ErrResultMismatch
		}
		result = append(result, base[step.Offset:end]...)
		result = append(result, step.Data...)
	}
	if len(result) != int(d.Size) || xxhash.Sum64(result) != d.Sum {
		return nil, ErrResultMismatch
	}
	return result, nil
}

type builder struct {
	base  []byte
	steps []Step
}

func (b *builder) addCopy(offset, length int) {
	if length > 0 {
		b.steps = append(b.steps, Step{Offset: uint32(offset), Length: uint32(length)})
	}
}

func (b *builder) addLiteral(data []byte) {
	if len(data) == 0 {
		return
	}
	if len(b.steps) == 0 || b.steps[len(b.steps)-1].Data != nil {
		b.steps = append(b.steps, Step{})
	}
	b.steps[len(b.steps)-1].Data = data
}

// addMiddle adds steps that construct a part of the result from blocks found in a part of the base, which begins at
// offset.
func (b *builder) addMiddle(base []byte, offset int, result []byte) {
	index := indexBlocks(base)
	from, at := 0, 0 // result[from:at] is not covered by steps yet
	for at+blockSize <= len(result) && len(index) > 0 {
		found, ok := index[xxhash.Sum64(result[at:at+blockSize])]
		if !ok || !bytes.Equal(base[found:found+blockSize], result[at:at+blockSize]) {
			at++
			continue
		}
		back := commonSuffix(base[:found], result[from:at])
		ahead := commonPrefix(base[found:], result[at:])
		b.addLiteral(result[from : at-back])
		b.addCopy(offset+found-back, back+ahead)
		at += ahead
		from = at
	}
	b.addLiteral(result[from:])
}

// indexBlocks maps the hash of each block of base, at multiples of blockSize, to its offset; the first one if blocks
// are equal.
func indexBlocks(base []byte) map[uint64]int {
	if len(base) < blockSize || len(base) > math.MaxUint32 {
		return nil
	}
	index := make(map[uint64]int, len(base)/blockSize)
	for at := 0; at+blockSize <= len(base); at += blockSize {
		hash := xxhash.Sum64(base[at : at+blockSize])
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
