package httpclient

import (
	"errors"
	"io"

	"ravendale/balancer/http1"
)

// Reader reads the responses on a connection, one after another. It must not be used after an error, except by Reset.
type Reader struct {
	source io.Reader
	parser http1.Responses
	buffer []byte
}

// NewReader returns a Reader that reads up to size bytes at once from source.
func NewReader(source io.Reader, size int) *Reader {
	return &Reader{source: source, buffer: make([]byte, size)}
}

// Reset makes the Reader read from the beginning of another connection.
func (r *Reader) Reset(source io.Reader) {
	r.source = source
	r.parser.Reset()
}

// Head reads the head of the response to a request with the given method, after any interim responses. It returns io.EOF
// if the connection has ended before the response, and io.ErrUnexpectedEOF if it ends within it. The caller must read the
// body by Discard.
func (r *Reader) Head(method string) (*http1.Response, error) {
	r.parser.SetMethod(method)
	return r.read(r.parser.Head)
}

// Response reads a complete response to a request with the given method, whose body has at most limit bytes.
func (r *Reader) Response(method string, limit int) (*http1.Response, error) {
	r.parser.SetMethod(method)
	r.parser.Limit = limit
	response, err := r.read(r.parser.Next)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		if response = r.parser.Ended(); response != nil {
			return response, nil
		}
	}
	return response, err
}

// read receives data until parse returns a response.
func (r *Reader) read(parse func() (*http1.Response, error)) (*http1.Response, error) {
	started := r.Buffered() > 0
	for {
		response, err := parse()
		if response != nil || err != nil {
			return response, err
		}
		if err := r.receive(); err != nil {
			if started && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		started = true
	}
}

// Discard reads the body of the response whose head was read last, and drops it. A body that ends with the connection is
// complete where the server has closed the connection in good order.
func (r *Reader) Discard() error {
	for {
		complete, err := r.parser.Discard()
		if complete || err != nil {
			return err
		}
		err = r.receive()
		switch {
		case err == nil:
		case !errors.Is(err, io.EOF):
			return err
		case !r.parser.EndsWithConnection():
			return io.ErrUnexpectedEOF
		default:
			return nil
		}
	}
}

// receive waits for data. It returns io.EOF at the end of the connection.
func (r *Reader) receive() error {
	n, err := r.source.Read(r.buffer)
	r.parser.Feed(r.buffer[:n])
	if n > 0 {
		return nil // an error that comes with data is returned again by the next Read
	}
	return err
}

// Buffered returns the number of bytes that were received and belong to no response yet.
func (r *Reader) Buffered() int { return r.parser.Buffered() }
