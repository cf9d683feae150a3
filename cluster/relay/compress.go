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
	minCompressedSize = 16 << 10 // shorter payloads of full topics are sent uncompressed
	maxPayload        = 32 << 20 // of a decompressed payload
)

// ErrPayloadTooLong is returned for a payload that exceeds the maximum size of a topic.
var ErrPayloadTooLong = errors.New("relay: decompressed payload exceeds the maximum size")

// compress returns the compressed payload, or nil if that is not shorter.
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

// Payload returns the full topic of an update, decompressed. It returns ErrPayloadTooLong if a compressed one expands
// to more than 32 MiB.
func Payload(update *wire.Update) ([]byte, error) {
	if !update.Compressed {
		return update.Payload, nil
	}
	reader := flate.NewReader(bytes.NewReader(update.Payload))
	payload, err := io.ReadAll(io.LimitReader(reader, maxPayload+1))
	if err != nil {
		return nil, fmt.Errorf("relay: decompress payload: %w", err)
	}
	if len(payload) > maxPayload {
		return nil, ErrPayloadTooLong
	}
	return payload, nil
}
