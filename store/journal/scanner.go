package journal

import (
	"bufio"
	"errors"
	"io"
)

const scanBuffer = 64 << 10

// scanner reads a file piece by piece into a reused buffer.
type scanner struct {
	reader *bufio.Reader
	buffer []byte
}

func newScanner(r io.Reader) *scanner {
	return &scanner{reader: bufio.NewReaderSize(r, scanBuffer)}
}

// next returns the next size bytes, which are valid until the next call. It fails with io.EOF at the end of the file,
// and with io.ErrUnexpectedEOF if the file ends within the size bytes. The buffer grows with the bytes read, so that a
// corrupt length does not cause a huge allocation.
func (s *scanner) next(size int) ([]byte, error) {
	s.buffer = s.buffer[:0]
	for len(s.buffer) < size {
		n := min(size-len(s.buffer), scanBuffer)
		at := len(s.buffer)
		s.buffer = append(s.buffer, make([]byte, n)...)
		if _, err := io.ReadFull(s.reader, s.buffer[at:]); err != nil {
			if errors.Is(err, io.EOF) && at > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return s.buffer, nil
}
