package backend

import "ravendale/balancer/scheduler"

// attemptKey is where one request is at one server; there is one attempt at a time.
type attemptKey struct{ id, server string }

// stage is how far an attempt has come.
type stage uint8

const (
	waiting     stage = iota // behind a withdrawal
	dialling                 // nothing is written
	lastByteDue              // all but the last byte is written: it can't have run
	written                  // it may have run
	accepted                 // the server answered 202
	over
)

// attempt is a dispatch as this side sees it.
type attempt struct {
	d     *scheduler.Dispatch
	key   attemptKey
	addr  string
	stage stage
	link  *link // until its response has come
	heard bool  // the server has called back about it
	sent  bool  // counted as written whole
}

// begun says whether the server may have the whole request, with the last byte of which it begins.
func (a *attempt) begun() bool {
	return a.stage > written || a.stage == written && a.link.net.Unwritten() == 0
}
