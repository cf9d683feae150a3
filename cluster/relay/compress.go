package relay

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"ravendale/cluster/wire"
)

// Sizes in bytes.
const (
	minCompressedSize = 16 << 10 // shorter payloads of full topics are sent as they are
	maxPayload        = 32 << 20 // of a payload once it is decompressed
)

// ErrTooLong is returned for a payload that is longer than any topic may be.
var ErrTooLong = errors.New("relay: payload is too long")

// compress returns a shorter form of a payload, or nil if there is none.
func compress(payload []byte) []byte {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil
	}
	if _, err := writer.Write(payload); err != nil || writer.Close() != nil || buffer.Len() >= len(payload) {
		return nil
	}
	return bytes.Clone(buffer.Bytes())
}

// Payload is the full topic that an update brings, decompressed. It returns ErrTooLong beyond 32 MB.
func Payload(update *wire.Update) ([]byte, error) {
	if !update.Compressed {
		return update.Payload, nil
	}
	reader := flate.NewReader(bytes.NewReader(update.Payload))
	payload, err := io.ReadAll(io.LimitReader(reader, maxPayload+1))
	if err != nil {
		return nil, fmt.Errorf("relay: compressed payload: %w", err)
	}
	if len(payload) > maxPayload {
		return nil, ErrTooLong
	}
	return payload, nil
}
