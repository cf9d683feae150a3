package worker

import (
	"strconv"
	"sync"
	"time"
)

var requests = sync.Pool{New: func() any { return new([]byte) }}

// write sends a request. It sends a body longer than smallBody in the background, while the response is awaited, and
// the returned channel receives the result; the channel is nil if the request is already written completely. After a
// failed write the response may still arrive.
func (c *connection) write(d *Delivery) (written chan error) {
	buffer := requests.Get().(*[]byte)
	defer func() {
		if cap(*buffer) <= maxPooledRequest {
			requests.Put(buffer)
		}
	}()
	*buffer = appendHead((*buffer)[:0], d)
	rest := d.Body
	if len(rest) <= smallBody {
		*buffer = append(*buffer, rest...)
		rest = nil
	}
	_, err := c.socket.Write(*buffer)
	if err == nil && len(rest) == 0 {
		return nil
	}
	written = make(chan error, 1)
	if err != nil {
		written <- err
		return written
	}
	go func() {
		_, err := c.socket.Write(rest)
		written <- err
	}()
	return written
}

// isWritten waits for the end of the background write and reports whether the request was sent completely. It is called
// after the response was read, so it allows only finishWriteTimeout for the rest of the request.
func (c *connection) isWritten(written chan error) bool {
	if written == nil {
		return true
	}
	_ = c.socket.SetWriteDeadline(time.Now().Add(finishWriteTimeout))
	return <-written == nil
}

func appendHead(b []byte, d *Delivery) []byte {
	b = append(append(append(b, d.Method...), ' '), d.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", d.Host)
	b = appendField(b, "Request-Id", d.RequestID)
	if d.OrderKey != "" {
		b = appendField(b, "Order-Key", d.OrderKey)
	}
	if d.ContentType != "" {
		b = appendField(b, "Content-Type", d.ContentType)
	}
	if d.Instance != "" {
		b = appendField(b, "Expect-Instance", d.Instance)
	}
	b = append(b, "Deadline-Ms: "...)
	b = strconv.AppendInt(b, max(d.Limit.Milliseconds(), 1), 10)
	b = append(b, "\r\n"...)
	if len(d.Body) > 0 || d.Method == "POST" || d.Method == "PUT" || d.Method == "PATCH" {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(d.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}
