package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// body reads the body of one message.
type body struct {
	state bodyState
	left  int // bytes of the body, or of the present chunk
	limit int // 0 for none
	total int
}

type bodyState uint8

const (
	none bodyState = iota
	counted
	chunkSize
	chunkData
	chunkEnd
	trailer
	untilClose
)

// begin chooses the framing by a head. Two framings at once are how requests are smuggled: refused, however empty or
// repeated either is, for another parser may go by any of the fields.
func (b *body) begin(h Header, limit int) error {
	*b = body{limit: limit}
	coding, codings, length, given := h.Get("Transfer-Encoding"), h.Count("Transfer-Encoding"), "", false
	for i := range h {
		if isNamed(h[i].Name, "Content-Length") {
			if given && length != h[i].Value {
				return bad("two lengths differ")
			}
			length, given = h[i].Value, true
		}
	}
	switch {
	case codings > 0 && given:
		return bad("a length and a transfer coding")
	case codings > 1 || codings == 1 && !strings.EqualFold(coding, "chunked"):
		return bad("the transfer coding is not known")
	case codings == 1:
		b.state = chunkSize
	case given:
		n, err := strconv.ParseUint(length, 10, 31)
		if err != nil {
			return bad("the length is no number")
		}
		if limit > 0 && int(n) > limit {
			return &Error{Status: 413, Reason: "the body is too long"}
		}
		if b.left = int(n); n > 0 {
			b.state = counted
		}
	}
	return nil
}

// read appends to out what p has of the body, and says whether the body is whole.
func (b *body) read(p *parser, out []byte) ([]byte, bool, error) {
	for {
		switch b.state {
		case none:
			return out, true, nil
		case untilClose:
			out = append(out, p.buf...)
			p.take(len(p.buf))
			return out, false, nil
		case counted, chunkData:
			n := min(b.left, len(p.buf))
			if b.total += n; b.limit > 0 && b.total > b.limit {
				return out, false, &Error{Status: 413, Reason: "the body is too long"}
			}
			out = append(out, p.buf[:n]...)
			p.take(n)
			if b.left -= n; b.left > 0 {
				return out, false, nil
			}
			if b.state == counted {
				b.state = none
			} else {
				b.state = chunkEnd
			}
		default:
			line, complete, err := p.line()
			if err != nil || !complete {
				return out, false, err
			}
			if err := b.line(line); err != nil {
				return out, false, err
			}
		}
	}
}

// line takes a line between chunks.
func (b *body) line(line string) error {
	switch {
	case b.state == trailer && line == "":
		b.state = none
	case b.state == chunkEnd && line != "":
		return bad("a chunk is longer than it said")
	case b.state == chunkEnd:
		b.state = chunkSize
	case b.state == chunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return bad("a chunk's size is no number")
		}
		if b.left, b.state = int(n), chunkData; n == 0 {
			b.state = trailer
		}
		if b.limit > 0 && b.total+b.left > b.limit {
			return &Error{Status: 413, Reason: "the body is too long"}
		}
	}
	return nil
}

func (p *parser) line() (line string, complete bool, err error) {
	end := bytes.Index(p.buf, []byte("\r\n"))
	if end < 0 && len(p.buf) > maxLine || end > maxLine {
		return "", false, bad("a chunk's size line is too long")
	}
	if end < 0 {
		return "", false, nil
	}
	line = string(p.buf[:end])
	p.take(end + 2)
	return line, true, nil
}
