// Package host is what the parts of a process need of the machine that they run on: a steady clock, random numbers, tasks and connections.
//
// System is the real machine. Parts that take a Host run in real time as well as in the virtual time of a simulation.
package host
