package frames

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
)

const (
	magic = "RVKN"
	// Version is the version of the encoding. Frames of any other version are rejected.
	Version = 1
	// MaxContent is the maximum size of a frame's content in bytes.
	MaxContent = 1 << 20

	headSize      = len(magic) + 2 + 4 + 16 + 8 + 4
	macSize       = sha256.Size
	minSecretSize = 16 // minimum size of a secret in bytes
	maxKeys       = 2
)

// Reasons to reject a frame. Each ends the connection on which the frame was received.
var (
	ErrForeign  = errors.New("not a frame of ours")
	ErrVersion  = errors.New("a frame of another version")
	ErrTooLarge = errors.New("a frame too large")
	ErrKey      = errors.New("a frame under a key that is not known")
	ErrMAC      = errors.New("a frame that was changed, or made without the key")
	ErrReplayed = errors.New("a frame of another connection, or out of its turn")
	ErrContent  = errors.New("a frame whose content makes no sense")
)

// Kind is the kind of a frame: a number, from 1 on, that the package's user defines.
type Kind uint8

// Key is a shared key. Each frame contains the ID of its key, so that keys can be replaced without an interruption.
type Key struct {
	ID     uint32
	Secret []byte
}

// Keys holds at most two keys: the first authenticates sent frames, and received frames may use either. To replace a
// key, add the new one as the second on all hosts, then make it the first on all hosts, then remove the old one.
type Keys []Key

// ParseKeys parses a key file: one key per line, its number and its secret in hex (16 bytes or more); the first is used
// for sent frames. Empty lines and lines that begin with # are ignored. An error names file and line, and never
// contains a secret.
func ParseKeys(file string, text []byte) (Keys, error) {
	var keys Keys
	for i, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		bad := func(reason string) (Keys, error) { return nil, fmt.Errorf("%s:%d: %s", file, i+1, reason) }
		var id uint32
		fields := strings.Fields(line)
		if len(fields) != 2 {
			return bad("a number and a secret in hex are wanted")
		}
		if _, err := fmt.Sscanf(fields[0]+"\n", "%d\n", &id); err != nil || fmt.Sprint(id) != fields[0] {
			return bad("the key's number is none")
		}
		secret, err := hex.DecodeString(fields[1])
		switch {
		case err != nil:
			return bad("the secret is no hex")
		case len(secret) < minSecretSize:
			return bad(fmt.Sprintf("the secret has less than %d bytes", minSecretSize))
		case len(keys) == maxKeys:
			return bad(fmt.Sprintf("more than %d keys", maxKeys))
		case len(keys) == 1 && keys[0].ID == id:
			return bad("the number is there twice")
		}
		keys = append(keys, Key{id, secret})
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("%s: no key", file)
	}
	return keys, nil
}

// Session identifies one direction of one connection.
type Session [16]byte

// SessionOf derives a session from the random values of both ends, for frames sent by maker. It includes the use, so that
// frames sent for one use are rejected in another.
func SessionOf(use string, maker, taker [16]byte) (s Session) {
	sum := sha256.Sum256(append(append([]byte("ravendale "+use), maker[:]...), taker[:]...))
	copy(s[:], sum[:])
	return s
}

// Writer encodes the frames of one direction.
type Writer struct {
	Keys    Keys
	Session Session
	number  uint64
}

// Append appends a frame to b. If the content exceeds MaxContent, it returns ErrTooLarge.
func (w *Writer) Append(b []byte, kind Kind, content []byte) ([]byte, error) {
	if len(content) > MaxContent {
		return b, ErrTooLarge
	}
	from := len(b)
	b = append(append(b, magic...), Version, byte(kind))
	b = binary.BigEndian.AppendUint32(b, w.Keys[0].ID)
	b = append(b, w.Session[:]...)
	b = binary.BigEndian.AppendUint64(b, w.number)
	b = binary.BigEndian.AppendUint32(b, uint32(len(content)))
	b = append(b, content...)
	w.number++
	return append(b, mac(w.Keys[0].Secret, b[from:])...), nil
}

func mac(secret, text []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(text)
	return h.Sum(nil)
}

// Reader decodes the frames of one direction from a stream of bytes. It must not be used after an error.
type Reader struct {
	Keys    Keys
	Session Session
	number  uint64
	buf     []byte
}

// Feed adds received bytes.
func (r *Reader) Feed(b []byte) { r.buf = append(r.buf, b...) }

// Next returns the next complete frame, or kind 0 if more bytes are needed. Data of another protocol or version is
// rejected as soon as its first bytes differ.
func (r *Reader) Next() (kind Kind, content []byte, err error) {
	n := min(len(r.buf), len(magic))
	if string(r.buf[:n]) != magic[:n] {
		return 0, nil, ErrForeign
	}
	if len(r.buf) > len(magic) && r.buf[len(magic)] != Version {
		return 0, nil, fmt.Errorf("%w: %d", ErrVersion, r.buf[len(magic)])
	}
	if len(r.buf) < headSize {
		return 0, nil, nil
	}
	head := r.buf[len(magic)+1 : headSize]
	length := binary.BigEndian.Uint32(head[29:])
	if length > MaxContent {
		return 0, nil, ErrTooLarge
	}
	size := headSize + int(length) + macSize
	if len(r.buf) < size {
		return 0, nil, nil
	}
	var secret []byte
	for _, k := range r.Keys {
		if k.ID == binary.BigEndian.Uint32(head[1:]) {
			secret = k.Secret
		}
	}
	signed := r.buf[:size-macSize]
	switch {
	case secret == nil:
		return 0, nil, ErrKey
	case !hmac.Equal(mac(secret, signed), r.buf[size-macSize:size]):
		return 0, nil, ErrMAC
	case !bytes.Equal(head[5:21], r.Session[:]) || binary.BigEndian.Uint64(head[21:]) != r.number:
		return 0, nil, ErrReplayed
	}
	r.number++
	kind, content = Kind(head[0]), bytes.Clone(signed[headSize:])
	r.buf = r.buf[size:]
	if kind == 0 {
		return 0, nil, ErrContent
	}
	return kind, content, nil
}
