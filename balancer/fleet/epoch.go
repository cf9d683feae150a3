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

// MaxContent bounds the content of an epoch, in bytes.
const MaxContent = 256 << 10

// ID names an epoch.
type ID = audit.ID

// Epoch is the set that the fleet is meant to run, adopted whole or not at all.
type Epoch struct {
	ID      ID
	Content []byte // what the digest is of

	Number uint64
	Floor  uint64        // nobody is to act under an older epoch
	Within time.Duration // for so long from when a member knows that it is in force
	Build  int           // the least generation of the program
	// Settings is a merge patch (RFC 7396) for the platform's settings, nil for none.
	Settings json.RawMessage
}

// content is the form of Epoch.Content. A member that finds a field it does not know can't act on the epoch.
type content struct {
	Number   uint64          `json:"number"`
	Floor    uint64          `json:"floor"`
	WithinMs int64           `json:"within_ms"`
	Build    int             `json:"build,omitempty"`
	Settings json.RawMessage `json:"settings,omitempty"`
}

// ErrContent is an epoch that makes no sense.
var ErrContent = errors.New("an epoch that makes no sense")

// Pack makes an epoch of its parts.
func Pack(e Epoch) (*Epoch, error) {
	text, err := json.Marshal(content{e.Number, e.Floor, e.Within.Milliseconds(), e.Build, e.Settings})
	if err != nil {
		return nil, fmt.Errorf("%w: settings: %w", ErrContent, err)
	}
	return Unpack(text)
}

// Unpack reads an epoch's content. The error names the first thing that is wrong.
func Unpack(text []byte) (*Epoch, error) {
	if len(text) > MaxContent {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrContent, MaxContent)
	}
	var c content
	if err := strict(text, &c); err != nil {
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
	if err := strict(target, &t); err != nil {
		return nil, err
	}
	if err := strict(patch, &p); err != nil {
		return nil, err
	}
	return json.Marshal(merge(t, p))
}

func merge(target, patch any) any {
	p, object := patch.(map[string]any)
	if !object {
		return patch
	}
	t, object := target.(map[string]any)
	if !object {
		t = make(map[string]any)
	}
	for name, value := range p {
		if value == nil {
			delete(t, name)
		} else {
			t[name] = merge(t[name], value)
		}
	}
	return t
}

// strict reads one JSON value: nothing unknown, nothing behind it, numbers to the last digit.
func strict(text []byte, v any) error {
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
