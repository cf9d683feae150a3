package fleet

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"ravendale/balancer/audit"
)

// MaxContent is the maximum size of an epoch's content in bytes.
const MaxContent = 256 << 10

// ID identifies an epoch by its number and the digest of its content.
type ID = audit.ID

// Epoch is a numbered version of the fleet's shared policy. A member adopts it completely or not at all.
type Epoch struct {
	ID      ID
	Content []byte // the encoded epoch; ID.Digest is its digest

	Number uint64
	Floor  uint64        // no member may run under an epoch with a lower number
	Within time.Duration // how long a member may run under an older one after it knows that this one is in force
	Build  int           // minimum generation of the program
	// Settings is a merge patch (RFC 7396) for the platform's settings, or nil.
	Settings json.RawMessage
}

// content is the encoding of Epoch.Content. A member whose program doesn't know one of the fields can't run under the
// epoch.
type content struct {
	Number   uint64          `json:"number"`
	Floor    uint64          `json:"floor"`
	WithinMs int64           `json:"within_ms"`
	Build    int             `json:"build,omitempty"`
	Settings json.RawMessage `json:"settings,omitempty"`
}

// ErrContent reports an invalid epoch.
var ErrContent = errors.New("an epoch that makes no sense")

// Pack encodes an epoch, and sets its ID and Content.
func Pack(e Epoch) (*Epoch, error) {
	text, err := json.Marshal(content{e.Number, e.Floor, e.Within.Milliseconds(), e.Build, e.Settings})
	if err != nil {
		return nil, fmt.Errorf("%w: settings: %w", ErrContent, err)
	}
	return Unpack(text)
}

// Unpack decodes and validates an epoch's content. The error names the first invalid field.
func Unpack(text []byte) (*Epoch, error) {
	if len(text) > MaxContent {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrContent, MaxContent)
	}
	var c content
	if err := decodeStrict(text, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrContent, err)
	}
	var patch map[string]json.RawMessage
	switch {
	case c.Number == 0:
		return nil, fmt.Errorf("%w: number: 0 is none", ErrContent)
	case c.Floor > c.Number:
		return nil, fmt.Errorf("%w: floor: %d is above number %d", ErrContent, c.Floor, c.Number)
	case c.WithinMs < 0 || c.WithinMs > int64(24*time.Hour/time.Millisecond):
		return nil, fmt.Errorf("%w: within: not between 0 and 24 hours", ErrContent)
	case c.Build < 0:
		return nil, fmt.Errorf("%w: build: %d is below 0", ErrContent, c.Build)
	case c.Settings != nil && json.Unmarshal(c.Settings, &patch) != nil:
		return nil, fmt.Errorf("%w: settings: no object", ErrContent)
	}
	sum := sha256.Sum256(text)
	return &Epoch{ID: ID{Number: c.Number, Digest: hex.EncodeToString(sum[:])}, Content: text, Number: c.Number, Floor: c.Floor,
		Within: time.Duration(c.WithinMs) * time.Millisecond, Build: c.Build, Settings: c.Settings}, nil
}

// Merge applies a merge patch (RFC 7396) to a JSON object.
func Merge(target, patch []byte) ([]byte, error) {
	var t, p any
	if err := decodeStrict(target, &t); err != nil {
		return nil, err
	}
	if err := decodeStrict(patch, &p); err != nil {
		return nil, err
	}
	return json.Marshal(mergeValue(t, p))
}

func mergeValue(target, patch any) any {
	p, isObject := patch.(map[string]any)
	if !isObject {
		return patch
	}
	t, isObject := target.(map[string]any)
	if !isObject {
		t = make(map[string]any)
	}
	for name, value := range p {
		if value == nil {
			delete(t, name)
		} else {
			t[name] = mergeValue(t[name], value)
		}
	}
	return t
}

// decodeStrict decodes a single JSON value. It rejects unknown fields and data after the value, and keeps the precision
// of numbers.
func decodeStrict(text []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	dec.UseNumber()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); err != io.EOF {
		return errors.New("something follows the value")
	}
	return nil
}
