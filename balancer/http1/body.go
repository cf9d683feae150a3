package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// body parses the body of one message.
type body struct {
	state     bodyState
	remaining int // remaining bytes of the body, or of the current chunk
	limit     int // maximum size of the body, 0 for none
	total     int
}

type bodyState uint8

const (
	noBody bodyState = iota
	withLength
	chunkSize
	chunkData
	chunkEnd
	trailer
	untilClose
)

// start selects the framing of the body by its head. A message with both a length and a transfer coding is rejected,
// even if either is empty or repeated: another parser may rely on the other field, which allows request smuggling.
func (b *body) start(h Header, limit int) error {
	*b = body{limit: limit}
	coding, codings, length, given := h.Get("Transfer-Encoding"), h.Count("Transfer-Encoding"), "", false
	for i := range h {
		if isNamed(h[i].Name, "Content-Length") {
			if given && length != h[i].Value {
				return badRequest("two lengths differ")
			}
			length, given = h[i].Value, true
		}
	}
	switch {
	case codings > 0 && given:
		return badRequest("a length and a transfer coding")
	case codings > 1 || codings == 1 && !strings.EqualFold(coding, "chunked"):
		return badRequest("the transfer coding is not known")
	case codings == 1:
		b.state = chunkSize
	case given:
		n, err := strconv.ParseUint(length, 10, 31)
		if err != nil {
			return badRequest("the length is no number")
		}
		if limit > 0 && int(n) > limit {
			return &Error{Status: 413, Reason: "the body is too long"}
		}
		if b.remaining = int(n); n > 0 {
			b.state = withLength
		}
	}
	return nil
}

// read appends the part of the body that p has to out, and reports whether the body is complete.
func (b *body) read(p *parser, out []byte) ([]byte, bool, error) {
	for {
		switch b.state {
		case noBody:
			return out, true, nil
		case untilClose:
			out = append(out, p.buf...)
			p.take(len(p.buf))
			return out, false, nil
		case withLength, chunkData:
			n := min(b.remaining, len(p.buf))
			if b.total += n; b.limit > 0 && b.total > b.limit {
				return out, false, &Error{Status: 413, Reason: "the body is too long"}
			}
			out = append(out, p.buf[:n]...)
			p.take(n)
			if b.remaining -= n; b.remaining > 0 {
				return out, false, nil
			}
			if b.state == withLength {
				b.state = noBody
			} else {
				b.state = chunkEnd
			}
		default:
			line, complete, err := p.line()
			if err != nil || !complete {
				return out, false, err
			}
			if err := b.handleLine(line); err != nil {
				return out, false, err
			}
		}
	}
}

// handleLine handles a line between chunks or in the trailer.
func (b *body) handleLine(line string) error {
	switch {
	case b.state == trailer && line == "":
		b.state = noBody
	case b.state == chunkEnd && line != "":
		return badRequest("a chunk is longer than it said")
	case b.state == chunkEnd:
		b.state = chunkSize
	case b.state == chunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return badRequest("a chunk's size is no number")
		}
		if b.remaining, b.state = int(n), chunkData; n == 0 {
			b.state = trailer
		}
		if b.limit > 0 && b.total+b.remaining > b.limit {
			return &Error{Status: 413, Reason: "the body is too long"}
		}
	}
	return nil
}

func (p *parser) line() (line string, complete bool, err error) {
	end := bytes.Index(p.buf, []byte("\r\n"))
	if end < 0 && len(p.buf) > maxLine || end > maxLine {
		return "", false, badRequest("a chunk's size line is too long")
	}
	if end < 0 {
		return "", false, nil
	}
	line = string(p.buf[:end])
	p.take(end + 2)
	return line, true, nil
}
