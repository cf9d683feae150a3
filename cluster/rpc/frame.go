package rpc

import (
	"encoding/binary"

	"github.com/tinylib/msgp/msgp"

	"ravendale/cluster/wire"
)

// MaxFrame is the maximum size of a frame in bytes; a longer one closes the connection.
const MaxFrame = 32 << 20

const headerSize = 4 + 1 + 2 + 4 // length of the rest, kind, method, call

// frameKind is the kind of a frame. Its values are part of the wire format.
type frameKind uint8

// The kinds of frames. A request is answered by a reply or an error with the same call number; a notice has no answer.
const (
	frameRequest frameKind = iota
	frameNotice
	frameReply
	frameError
	framePing
	framePong
)

// appendFrame appends a frame to a buffer. After an error the appended bytes are invalid.
func appendFrame(buffer []byte, kind frameKind, method wire.Method, call uint32, message msgp.Marshaler) ([]byte, error) {
	at := len(buffer)
	buffer = append(buffer, 0, 0, 0, 0, byte(kind))
	buffer = binary.BigEndian.AppendUint16(buffer, uint16(method))
	buffer = binary.BigEndian.AppendUint32(buffer, call)
	if message != nil {
		var err error
		if buffer, err = message.MarshalMsg(buffer); err != nil {
			return buffer, err
		}
	}
	size := len(buffer) - at - 4
	if size > MaxFrame {
		return buffer, ErrFrameTooLong
	}
	binary.BigEndian.PutUint32(buffer[at:], uint32(size))
	return buffer, nil
}
