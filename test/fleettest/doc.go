// Package fleettest is the bench for processes: it starts several real processes of the program with stand-in discovery,
// servers and clients, puts a fault proxy on every link between them, and plays a script of faults. What happened is kept, for
// checkers that decide: the records (package audit) and the clients' history. A fault that never took effect is an error.
//
// All of it is on loopback addresses, 127.0.0.0/8.
package fleettest
