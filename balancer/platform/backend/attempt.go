package backend

import "ravendale/balancer/scheduler"

// attemptKey identifies an attempt: there is at most one at a time for each request and server.
type attemptKey struct{ id, server string }

// stage is the progress of an attempt.
type stage uint8

const (
	waiting     stage = iota // until a withdrawal for the same key is finished
	dialling                 // connecting; nothing is written
	lastByteDue              // all but the last byte is written: the request can't have run
	written                  // the request may have run
	accepted                 // the server answered 202
	over                     // ended or forgotten
)

// attempt is the state of a dispatch on the server side.
type attempt struct {
	d         *scheduler.Dispatch
	key       attemptKey
	addr      string
	stage     stage
	link      *link // its connection, until the response has arrived
	hasReport bool  // the server has called back about it
	sent      bool  // counted as written whole
}

// begun reports whether the server may have received the last byte of the request, on which it starts the request.
func (a *attempt) begun() bool {
	return a.stage > written || a.stage == written && a.link.net.Unwritten() == 0
}
