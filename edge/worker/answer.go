package worker

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

var errMalformed = errors.New("worker: malformed HTTP response")

const (
	maxChunkLine        = 128
	maxInterimResponses = 8 // 1xx responses before the final one
	maxTrailers         = 64
	crlfBytes           = 2 // CR LF
)

// response holds the relevant parts of a response that was received completely.
type response struct {
	status      int
	requestID   string
	signature   string
	notExecuted bool
	reusable    bool          // the connection may be used for another request
	idleTimeout time.Duration // how long the connection may stay idle, see keepAlive
}

// readResponse reads a complete response. Any error means that the response is truncated or malformed, or came too late.
func readResponse(reader *bufio.Reader, method string) (response, error) {
	header := &fasthttp.ResponseHeader{}
	if err := readFinalHeader(reader, header); err != nil {
		return response{}, err
	}
	ids := header.PeekAll("Request-Id")
	if len(ids) > 1 {
		return response{}, errMalformed
	}
	a := response{
		status:      header.StatusCode(),
		requestID:   string(bytes.Join(ids, nil)),
		signature:   string(header.Peek("Signature")),
		notExecuted: len(header.Peek("Not-Executed")) > 0,
		reusable:    !header.ConnectionClose(),
		idleTimeout: keepAlive(string(header.Peek("Keep-Alive"))),
	}
	untilClose, err := skipBody(reader, header, method)
	a.reusable = a.reusable && !untilClose
	return a, err
}

// isForeign reports whether the response contains the ID of another request.
func (a *response) isForeign(requestID string) bool {
	return a.requestID != "" && a.requestID != requestID
}

func readFinalHeader(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	for range maxInterimResponses {
		if err := header.Read(reader); err != nil {
			return err
		}
		if status := header.StatusCode(); status >= fasthttp.StatusOK {
			return nil
		}
	}
	return errMalformed
}

// keepAlive returns how long to keep an idle connection: the timeout in a Keep-Alive field, or defaultIdleTimeout if
// there is none, less idleMargin, which is limited to a quarter of it.
func keepAlive(field string) time.Duration {
	idle := defaultIdleTimeout
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if strings.EqualFold(strings.TrimSpace(name), "timeout") && err == nil && seconds >= 0 && seconds < 1e6 {
			idle = time.Duration(seconds * float64(time.Second))
		}
	}
	return idle - min(idleMargin, idle/4)
}

// skipBody reads and discards the body. It returns untilClose for a body that ends only when the worker closes the
// connection.
func skipBody(reader *bufio.Reader, header *fasthttp.ResponseHeader, method string) (untilClose bool, err error) {
	status := header.StatusCode()
	if method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return false, nil
	}
	switch length := header.ContentLength(); {
	case length >= 0:
		return false, discard(reader, length)
	case length == -1:
		return false, skipChunks(reader)
	}
	_, err = io.Copy(io.Discard, reader)
	return true, err
}

func discard(reader *bufio.Reader, count int) error {
	_, err := reader.Discard(count)
	return err
}

func skipChunks(reader *bufio.Reader) error {
	for {
		line, err := readLine(reader)
		if err != nil {
			return err
		}
		size, err := chunkSize(line)
		if err != nil {
			return err
		}
		if size == 0 {
			return skipTrailers(reader)
		}
		if err := discard(reader, size); err != nil {
			return err
		}
		if line, err = readLine(reader); err != nil {
			return err
		}
		if len(line) > 0 {
			return errMalformed
		}
	}
}

func skipTrailers(reader *bufio.Reader) error {
	for range maxTrailers {
		line, err := readLine(reader)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return nil
		}
	}
	return errMalformed
}

// readLine reads a line and returns it without its CR LF. The line is valid until the next read.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	if len(line) < crlfBytes || line[len(line)-2] != '\r' {
		return nil, errMalformed
	}
	return line[:len(line)-2], nil
}

func chunkSize(line []byte) (int, error) {
	digits, _, _ := bytes.Cut(line, []byte{';'})
	if len(line) > maxChunkLine {
		return 0, errMalformed
	}
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 31)
	if err != nil {
		return 0, errMalformed
	}
	return int(size), nil
}

// classify returns the outcome that a response stands for, given the ID of the request that was sent. A response
// without a Request-Id is certain to belong to this request only if it is the first on its connection; even then it is
// trusted only if it says that the message did not run.
func classify(a response, requestID string, first bool) Outcome {
	if a.isForeign(requestID) || a.requestID == "" && !first {
		return Broken
	}
	if a.status == fasthttp.StatusMisdirectedRequest {
		return WrongWorker
	}
	if a.notExecuted && a.status >= fasthttp.StatusBadRequest {
		return classifyNotExecuted(a.status)
	}
	if a.requestID == "" {
		return Broken
	}
	switch {
	case a.status >= 200 && a.status < 300 && a.signature != "":
		return Done
	case a.status == fasthttp.StatusInternalServerError:
		return Failed
	case a.status == fasthttp.StatusUnprocessableEntity:
		return Rejected
	case a.status == fasthttp.StatusConflict:
		return Duplicate
	}
	return Broken
}

func classifyNotExecuted(status int) Outcome {
	switch status {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return AtCapacity
	case fasthttp.StatusConflict:
		return Duplicate
	}
	return NotRun
}
