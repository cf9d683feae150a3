package servertable

import "fmt"

// maxObject bounds one object of a stream, in bytes; a whole list is one.
const maxObject = 4 << 20

var errTooLong = fmt.Errorf("an object is longer than %d bytes", maxObject)

// stream takes a watch apart. The platform writes one JSON object a line, and may write it indented, over several: so an object's
// end is where its outermost brace closes, and nothing else.
type stream struct {
	buf             []byte
	at, depth       int  // looked at up to here, with so many braces open,
	quoted, escaped bool // inside a string, behind a backslash
}

// feed takes what has come.
func (s *stream) feed(b []byte) { s.buf = append(s.buf, b...) }

// next returns the next whole object, or a line's end between objects (blank), a sign of life. Neither: more is wanted. After an
// error the stream is of no more use. The object is good until feed is called.
func (s *stream) next() (object []byte, blank bool, err error) {
	for ; s.at < len(s.buf); s.at++ {
		c := s.buf[s.at]
		switch {
		case s.depth == 0 && c == '\n':
			s.take(s.at + 1)
			return nil, true, nil
		case s.depth == 0 && (c == ' ' || c == '\t' || c == '\r'):
		case s.depth == 0 && c != '{':
			return nil, false, fmt.Errorf("%q where an object was to begin", c)
		case s.escaped:
			s.escaped = false
		case s.quoted:
			s.escaped, s.quoted = c == '\\', c != '"'
		case c == '"':
			s.quoted = true
		case c == '{':
			if s.depth++; s.depth == 1 {
				s.take(s.at) // blanks before it
			}
		case c == '}':
			if s.depth--; s.depth == 0 {
				return s.take(s.at + 1), false, nil
			}
		}
	}
	if s.depth == 0 {
		s.take(s.at) // blanks, however many
	}
	if len(s.buf) > maxObject {
		return nil, false, errTooLong
	}
	return nil, false, nil
}

// take takes the first n bytes off.
func (s *stream) take(n int) []byte {
	head := s.buf[:n]
	s.buf, s.at = s.buf[n:], 0
	return head
}
