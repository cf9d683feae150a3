// Package scheduler runs the decision module among real events. It knows sessions (a client's request), dispatches (one attempt
// at a backend server) and time, but no protocol: frontends and backends of any kind meet in an Exchange.
//
// A Loop is one goroutine at a time that takes events in turns and keeps their deadlines; a Scheduler belongs to one Loop, and
// all of its methods are called in that loop's turns. The owner makes a Scheduler with New, gives it its backend and its server
// table with Connect before the first event, and hands in requests with Accept and lists with Listed. Each exchange is answered
// exactly once, unless its client leaves before. While a new version takes over, two processes are one scheduler: Join,
// Snapshot, Inherit, Transfer and Adopt.
package scheduler
