// Package cores makes the decisions specific to a scheduler on several cores: which core serves which backend server, whether a
// send that was decided may still begin, and how client connections are distributed. Apart from synchronisation it has no side
// effects; package balancer/platform/node executes the decisions. docs/cores.md gives the reasons.
package cores
