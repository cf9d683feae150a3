// Package simulation has tests only: a simulation of the whole system. The real parts of control processes, edges and stores run in one seeded
// world of virtual time, with networks, disks, clocks and faults, and the history of each world is checked after the fact.
package simulation
