package http1

// body parses the body of one message.
type body struct {
	state       bodyState
	isEmpty     bool // the message must have no content
	remaining   int  // remaining bytes of the body, or of the current chunk
	limit       int  // maximum size of the body, 0 for none
	total       int  // bytes of the body so far
	trailerSize int  // bytes of the trailer so far
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

// start begins a body that is framed as its message's head says.
func (b *body) start(f framing, limit int) error {
	*b = body{limit: limit}
	switch {
	case f.chunked:
		b.state = chunkSize
	case f.length > 0:
		if limit > 0 && f.length > limit {
			return bodyTooLong()
		}
		b.state, b.remaining = withLength, f.length
	}
	return nil
}

// read appends the part of the body that p has to out, and reports whether the body is complete.
func (b *body) read(p *parser, out []byte) ([]byte, bool, error) {
	for {
		content, progress, err := b.step(p)
		out = append(out, content...)
		if err != nil || progress != hasMore {
			return out, progress == isComplete, err
		}
	}
}

// discard drops the part of the body that p has, and reports whether the body is complete.
func (b *body) discard(p *parser) (complete bool, err error) {
	for {
		_, progress, err := b.step(p)
		if err != nil || progress != hasMore {
			return progress == isComplete, err
		}
	}
}

// progress is what a step of parsing has led to.
type progress uint8

const (
	needsData  progress = iota // nothing can be parsed without more bytes
	hasMore                    // the next step may parse more
	isComplete                 // the body is complete
)

// step parses the next piece of content or line. The content is valid until the next Feed.
func (b *body) step(p *parser) (content []byte, next progress, err error) {
	switch b.state {
	case noBody:
		return nil, isComplete, nil
	case untilClose:
		content, err = b.takeContent(p, len(p.buf))
		return content, needsData, err
	case withLength, chunkData:
		return b.stepCounted(p)
	case chunkEnd:
		return b.stepChunkEnd(p)
	}
	line, complete, err := p.line(b.lineLimit())
	switch {
	case err != nil || !complete:
		return nil, needsData, err
	case b.state == chunkSize:
		return nil, hasMore, b.handleChunkLine(line)
	}
	return nil, hasMore, b.handleTrailer(line)
}

// stepCounted parses content whose length is known.
func (b *body) stepCounted(p *parser) (content []byte, next progress, err error) {
	n := min(b.remaining, len(p.buf))
	if content, err = b.takeContent(p, n); err != nil {
		return nil, needsData, err
	}
	if b.remaining -= n; b.remaining > 0 {
		return content, needsData, nil
	}
	if b.state == withLength {
		b.state = noBody
	} else {
		b.state = chunkEnd
	}
	return content, hasMore, nil
}

func (b *body) takeContent(p *parser, n int) ([]byte, error) {
	if n > 0 && b.isEmpty {
		return nil, badRequest("content in a response that has none")
	}
	if b.total += n; b.limit > 0 && b.total > b.limit {
		return nil, bodyTooLong()
	}
	content := p.buf[:n]
	p.take(n)
	return content, nil
}

// stepChunkEnd parses the CR LF after the data of a chunk.
func (b *body) stepChunkEnd(p *parser) (content []byte, next progress, err error) {
	available := min(len(p.buf), lineEnd)
	if string(p.buf[:available]) != "\r\n"[:available] {
		return nil, needsData, badRequest("a chunk is longer than it said")
	}
	if available < lineEnd {
		return nil, needsData, nil
	}
	p.take(lineEnd)
	b.state = chunkSize
	return nil, hasMore, nil
}

// lineLimit returns the maximum length of the next line, in bytes with its CR.
func (b *body) lineLimit() int {
	if b.state == trailer {
		return MaxHead - b.trailerSize
	}
	return maxChunkLine
}

func (b *body) handleChunkLine(line string) error {
	size, err := parseChunkLine(line)
	switch {
	case err != nil:
		return err
	case size == 0:
		b.state = trailer
		return nil
	case b.limit > 0 && size > b.limit-b.total:
		return bodyTooLong()
	}
	b.remaining, b.state = size, chunkData
	return nil
}

// handleTrailer handles a line of the trailer; an empty one ends the body.
func (b *body) handleTrailer(line string) error {
	if line == "" {
		b.state = noBody
		return nil
	}
	b.trailerSize += len(line) + lineEnd
	return checkTrailer(line)
}
