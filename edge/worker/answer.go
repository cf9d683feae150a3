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

var errGarbled = errors.New("worker: garbled answer")

const (
	maxChunkLine  = 128
	maxInterim    = 8 // 1xx answers before the final one
	maxTrailers   = 64
	bareLineBytes = 2 // of an empty line
)

// answer is what counts of an answer that came whole.
type answer struct {
	status      int
	requestID   string
	signature   string
	notExecuted bool
	reusable    bool          // the connection may be used again
	idleTimeout time.Duration // how long the worker keeps it
}

// readAnswer reads a whole answer; any error means that it was cut or garbled.
func readAnswer(reader *bufio.Reader, method string) (answer, error) {
	header := &fasthttp.ResponseHeader{}
	if err := readFinalHeader(reader, header); err != nil {
		return answer{}, err
	}
	ids := header.PeekAll("Request-Id")
	if len(ids) > 1 {
		return answer{}, errGarbled
	}
	a := answer{
		status:      header.StatusCode(),
		requestID:   string(bytes.Join(ids, nil)),
		signature:   string(header.Peek("Signature")),
		notExecuted: len(header.Peek("Not-Executed")) > 0,
		reusable:    !header.ConnectionClose(),
		idleTimeout: keepAlive(string(header.Peek("Keep-Alive"))),
	}
	endless, err := skipBody(reader, header, method)
	a.reusable = a.reusable && !endless
	return a, err
}

// isOfAnother says whether an answer names another request.
func (a *answer) isOfAnother(requestID string) bool {
	return a.requestID != "" && a.requestID != requestID
}

func readFinalHeader(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	for range maxInterim {
		if err := header.Read(reader); err != nil {
			return err
		}
		if status := header.StatusCode(); status >= fasthttp.StatusOK {
			return nil
		}
	}
	return errGarbled
}

// keepAlive reads the time-out of a Keep-Alive field, and shortens it by the margin.
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

// skipBody reads past the body; endless says that only the connection's end ended it.
func skipBody(reader *bufio.Reader, header *fasthttp.ResponseHeader, method string) (endless bool, err error) {
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
			return errGarbled
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
	return errGarbled
}

// readLine reads to CR LF. The line holds until the next read.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	if len(line) < bareLineBytes || line[len(line)-2] != '\r' {
		return nil, errGarbled
	}
	return line[:len(line)-2], nil
}

func chunkSize(line []byte) (int, error) {
	digits, _, _ := bytes.Cut(line, []byte{';'})
	if len(line) > maxChunkLine {
		return 0, errGarbled
	}
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 31)
	if err != nil {
		return 0, errGarbled
	}
	return int(size), nil
}

// classify says what an answer means for the message whose id was sent. One that names no request can be no other's only if it is the
// first on its connection, and is believed only that the message did not run.
func classify(a answer, requestID string, first bool) Outcome {
	if a.isOfAnother(requestID) || a.requestID == "" && !first {
		return Broken
	}
	if a.status == fasthttp.StatusMisdirectedRequest {
		return WrongWorker
	}
	if a.notExecuted && a.status >= fasthttp.StatusBadRequest {
		return classifyNotRun(a.status)
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

func classifyNotRun(status int) Outcome {
	switch status {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return AtCapacity
	case fasthttp.StatusConflict:
		return Duplicate
	}
	return NotRun
}
