// Package simulation contains only tests: a simulation of the whole system. The real code of control processes, edges
// and stores runs in one seeded world of virtual time with simulated networks, disks, clocks and faults. The rules are
// checked while a world runs and on its recorded history at the end.
package simulation
