package servertable

import "fmt"

// maxObject bounds one object of a stream, in bytes; a whole list is one.
const maxObject = 4 << 20

var errTooLong = fmt.Errorf("JSON object is longer than %d bytes", maxObject)

// stream splits the data of a watch into JSON objects. The platform writes one object per line, but may also indent it over several
// lines; therefore an object ends where its outermost brace closes, not at the end of a line.
type stream struct {
	buf             []byte
	at, depth       int  // at is the offset scanned so far, with depth braces open
	quoted, escaped bool // inside a string; after a backslash in it
}

// feed appends received data.
func (s *stream) feed(b []byte) { s.buf = append(s.buf, b...) }

// next returns the next complete object, or blank for the end of a line between objects, which serves as a keep-alive. If it
// returns neither, more data is needed. After an error the stream must not be used. The object is valid until feed is called.
func (s *stream) next() (object []byte, blank bool, err error) {
	for ; s.at < len(s.buf); s.at++ {
		c := s.buf[s.at]
		switch {
		case s.depth == 0 && c == '\n':
			s.take(s.at + 1)
			return nil, true, nil
		case s.depth == 0 && (c == ' ' || c == '\t' || c == '\r'):
		case s.depth == 0 && c != '{':
			return nil, false, fmt.Errorf("unexpected %q where a JSON object should begin", c)
		case s.escaped:
			s.escaped = false
		case s.quoted:
			s.escaped, s.quoted = c == '\\', c != '"'
		case c == '"':
			s.quoted = true
		case c == '{':
			if s.depth++; s.depth == 1 {
				s.take(s.at) // drop the blanks before the object
			}
		case c == '}':
			if s.depth--; s.depth == 0 {
				return s.take(s.at + 1), false, nil
			}
		}
	}
	if s.depth == 0 {
		s.take(s.at) // drop all blanks
	}
	if len(s.buf) > maxObject {
		return nil, false, errTooLong
	}
	return nil, false, nil
}

// take removes and returns the first n bytes.
func (s *stream) take(n int) []byte {
	head := s.buf[:n]
	s.buf, s.at = s.buf[n:], 0
	return head
}
