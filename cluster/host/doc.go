// Package host abstracts the machine that a process runs on: a monotonic clock, random numbers, tasks and connections.
//
// System is the real machine. Code that takes a Host runs in real time as well as in the virtual time of a simulation.
package host
