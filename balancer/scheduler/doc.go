// Package scheduler feeds real events to the decision module and executes its decisions. It handles sessions (one client
// request each), dispatches (one attempt at a backend server each) and deadlines, but no protocol: a frontend and a backend of
// any kind share an Exchange per request.
//
// A Loop processes events in turns, on one goroutine at a time, and keeps their deadlines. A Scheduler belongs to one Loop, and
// all of its methods must be called in that loop's turns. The owner creates a Scheduler with New, sets its backend and server
// table with Connect before the first event, and passes in requests with Accept and server lists with Listed. Each exchange is
// answered exactly once, unless its client disconnects first. During an upgrade the old and the new process act as one
// scheduler: see Join, Snapshot, Inherit, Transfer and Adopt.
package scheduler
