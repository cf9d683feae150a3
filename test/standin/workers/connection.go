package workers

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"ravendale/test/standin/answers"
	"ravendale/test/standin/history"
	"ravendale/test/standin/protocol"
)

// conn is one connection. It handles one request at a time.
type conn struct {
	worker *Worker
	net    net.Conn
	reader *bufio.Reader
	used   bool // it has carried a message before
}

func (c *conn) reset() {
	if tcp, ok := c.net.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.net.Close()
}

func (c *conn) serve() {
	defer c.worker.removeConn(c)
	defer func() { _ = c.net.Close() }()
	for {
		_ = c.net.SetReadDeadline(time.Now().Add(c.worker.service.KeepAlive))
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		_ = c.net.SetReadDeadline(time.Time{})
		if c.worker.faults.Load().Unresponsive {
			c.discard()
			return
		}
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(request.Body, maxBody))
		if err != nil || !c.handle(request, body) {
			return
		}
	}
}

// discard reads and ignores all input until the peer closes the connection.
func (c *conn) discard() { _, _ = io.Copy(io.Discard, c.reader) }

// handle answers a request, and reports whether the connection stays open.
func (c *conn) handle(request *http.Request, body []byte) bool {
	ctx, stop := c.watch()
	defer stop()
	if request.Method == http.MethodGet && request.URL.Path == c.worker.service.HealthPath {
		return c.write("", c.worker.health(ctx))
	}
	return c.deliver(ctx, request, body)
}

// watch returns a context that ends with the worker or when the peer closes the connection. stop ends the watching.
func (c *conn) watch() (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(c.worker.lifetime)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		_, err := c.reader.Peek(1)
		var timeout net.Error
		if err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
			cancel()
		}
	}()
	return ctx, func() {
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
		<-watched
		cancel()
	}
}

func (c *conn) deliver(ctx context.Context, request *http.Request, body []byte) bool {
	worker := c.worker
	id := request.Header.Get(protocol.HeaderRequestID)
	record := worker.fleet.record
	arrival := record.Arrive(history.Arrival{
		RequestID: id,
		Service:   worker.service.Name,
		Worker:    worker.id,
		Listed:    worker.listed,
		Method:    request.Method,
		Host:      request.Host,
		Target:    request.RequestURI,
		Key:       request.Header.Get(protocol.HeaderOrderKey),
		Body:      xxhash.Sum64(body),
		Arrived:   record.Now(),
		Reused:    c.used,
	})
	c.used = true
	reply, given := worker.answerMessage(ctx, request, arrival)
	record.Change(arrival, func(a *history.Arrival) { a.Status = reply.status })
	if !given {
		return false
	}
	if reply.signature != "" {
		return c.writeSuccess(ctx, reply, arrival, request.Header.Get(protocol.HeaderDeadline))
	}
	return c.write(id, reply)
}

// writeSuccess sends the answer to a success, with a fault if the worker's faults say so.
func (c *conn) writeSuccess(ctx context.Context, reply answer, arrival *history.Arrival, deadline string) bool {
	record := c.worker.fleet.record
	id := arrival.RequestID
	encoded := c.encode(id, reply)
	before := c.worker.swapLastSuccess(id, reply)
	answerFault := c.worker.faults.Load().draw()
	if answerFault == AnswerForeign && (before.id == "" || before.id == id) {
		answerFault = "" // there is no answer to another message yet
	}
	record.Change(arrival, func(a *history.Arrival) { a.AnswerFault = answerFault })
	switch answerFault {
	case AnswerNeverSent:
		<-ctx.Done()
		return false
	case AnswerTruncated:
		_, _ = c.net.Write(encoded[:rand.IntN(len(encoded))])
		return false
	case AnswerReset:
		c.reset()
		return false
	case AnswerForeign:
		return c.write(before.id, before.reply)
	case AnswerMalformed:
		_, err := io.WriteString(c.net, c.encodeMalformed(id, reply))
		return err == nil
	case AnswerLate:
		c.awaitDeadline(arrival.Arrived, deadline)
	}
	if _, err := c.net.Write(encoded); err != nil {
		return false
	}
	record.Change(arrival, func(a *history.Arrival) {
		a.Answered = true
		a.Written = record.Now()
	})
	if answerFault == AnswerDuplicated {
		time.Sleep(duplicateDelay)
		_, err := c.net.Write(encoded)
		return err == nil
	}
	return true
}

// malformedForms are the forms of malformed answers.
var malformedForms = answers.Malformed()

// encodeMalformed returns an answer in a form that HTTP forbids, with a signature that no run has.
func (c *conn) encodeMalformed(id string, reply answer) string {
	form := malformedForms[rand.IntN(len(malformedForms))]
	return form.Encode(answers.Answer{
		Status: reply.status, Body: string(reply.body),
		Fields: protocol.HeaderRequestID + ": " + id + "\r\n" + protocol.HeaderSignature + ": malformed." + reply.signature + "\r\n",
	})
}

// awaitDeadline waits until a random time around the request's deadline. The end of the worker ends the wait early, the
// end of the connection does not.
func (c *conn) awaitDeadline(arrived time.Duration, header string) {
	millis, err := strconv.ParseFloat(header, 64)
	if err != nil || millis <= 0 {
		return
	}
	allowed := millis * float64(time.Millisecond)
	until := arrived + time.Duration(allowed*(1-lateFraction+2*lateFraction*rand.Float64()))
	timer := time.NewTimer(until - c.worker.fleet.record.Now())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.worker.lifetime.Done():
	}
}

func (c *conn) write(id string, reply answer) bool {
	_, err := c.net.Write(c.encode(id, reply))
	return err == nil
}

func (c *conn) encode(id string, reply answer) []byte {
	var text strings.Builder
	text.WriteString("HTTP/1.1 " + strconv.Itoa(reply.status) + " " + http.StatusText(reply.status) + "\r\n")
	header := func(name, value string) {
		if value != "" {
			text.WriteString(name + ": " + value + "\r\n")
		}
	}
	header(protocol.HeaderInstance, c.worker.id)
	header(protocol.HeaderRequestID, id)
	header(protocol.HeaderSignature, reply.signature)
	if reply.notRun {
		header(protocol.HeaderNotExecuted, "true")
	}
	header("Keep-Alive", "timeout="+strconv.Itoa(int(c.worker.service.KeepAlive/time.Second)))
	header("Content-Length", strconv.Itoa(len(reply.body)))
	text.WriteString("\r\n")
	text.Write(reply.body)
	return []byte(text.String())
}
