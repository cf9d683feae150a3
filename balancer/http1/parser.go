package http1

import "bytes"

// parser is the part shared by Requests and Responses: unparsed bytes, and the state of the current body.
type parser struct {
	backing   []byte // backing array of buf, reused
	buf       []byte
	searched  int // number of bytes of buf already searched for the end of the head
	lineStart int // offset in buf of the head's line that is incomplete
	body      body
}

// maxIdleBuffer is the maximum capacity, in bytes, of a buffer that a parser keeps while it has no data.
const maxIdleBuffer = 4 << 10

// lineEnd is the length of CR LF, which ends each line.
const lineEnd = 2

// Feed adds a copy of b to the data to parse. Unparsed bytes are moved to the front of the buffer here, once, and not
// in each take: with very small pieces that would cost quadratic time.
func (p *parser) Feed(b []byte) {
	p.backing = append(append(p.backing[:0], p.buf...), b...)
	p.buf = p.backing
}

// Buffered returns the number of unparsed bytes.
func (p *parser) Buffered() int { return len(p.buf) }

// take removes n bytes from the front of the buffer.
func (p *parser) take(n int) {
	if p.buf = p.buf[n:]; len(p.buf) == 0 && cap(p.backing) > maxIdleBuffer {
		p.backing, p.buf = nil, nil
	}
}

// head removes and returns the next head, without the empty line that ends it, or returns "" while it is incomplete. It
// rejects a line that does not end with CR LF as soon as it has been received. Empty lines before the head are skipped if
// skipsEmptyLines is set, and rejected otherwise.
func (p *parser) head(skipsEmptyLines bool) (string, error) {
	for {
		end := bytes.IndexByte(p.buf[p.searched:], '\n')
		if end < 0 {
			if p.searched = len(p.buf); p.searched > MaxHead {
				return "", headTooLong()
			}
			return "", nil
		}
		end += p.searched
		switch {
		case end > MaxHead:
			return "", headTooLong()
		case end == 0 || p.buf[end-1] != '\r':
			return "", badRequest("a line of the head does not end with CR LF")
		}
		lineLength := end - 1 - p.lineStart
		p.searched, p.lineStart = end+1, end+1
		switch {
		case lineLength > 0:
		case end+1 > lineEnd:
			return p.takeHead(), nil
		case !skipsEmptyLines:
			return "", badRequest("an empty line in place of the first line")
		default:
			p.takeHead()
		}
	}
}

// takeHead removes all complete lines, of which the last one is empty, and returns the others.
func (p *parser) takeHead() string {
	head := string(p.buf[:max(p.lineStart-2*lineEnd, 0)])
	p.take(p.lineStart)
	p.searched, p.lineStart = 0, 0
	return head
}

// line removes and returns the next line of at most limit bytes, without its CR LF, or complete is false.
func (p *parser) line(limit int) (line string, complete bool, err error) {
	end := bytes.IndexByte(p.buf, '\n')
	switch {
	case end > limit || end < 0 && len(p.buf) > limit:
		return "", false, badRequest("a line of the body is too long")
	case end < 0:
		return "", false, nil
	case end == 0 || p.buf[end-1] != '\r':
		return "", false, badRequest("a line of the body does not end with CR LF")
	}
	line = string(p.buf[:end-1])
	p.take(end + 1)
	return line, true, nil
}
