package journal

import (
	"bufio"
	"errors"
	"io"
)

const scanBuffer = 64 << 10

// scanner reads pieces of a file into a buffer that is used again.
type scanner struct {
	reader *bufio.Reader
	buffer []byte
}

func newScanner(r io.Reader) *scanner {
	return &scanner{reader: bufio.NewReaderSize(r, scanBuffer)}
}

// next returns the next size bytes, which are valid until it is called again. At the file's end it fails with io.EOF; in the midst
// of a piece, with io.ErrUnexpectedEOF. The buffer grows as bytes come, so that a torn length asks for no memory.
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
