// Package fleettest is a test bench that runs a fleet of real scheduler processes: it starts several processes of the program
// with stand-in discovery, backend servers and clients, puts a fault proxy on every link between the processes, and runs a
// script of faults. It keeps the members' records (package audit) and the clients' request history, from which the caller
// decides whether the run was correct. A fault that affected no traffic is an error.
//
// All addresses are loopback addresses in 127.0.0.0/8.
package fleettest
