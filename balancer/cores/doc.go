// Package cores holds what a scheduler on several cores must decide: which core serves which backend server, whether a send
// that was decided may still begin, and how connections of clients are dealt out. It is pure but for atomics; package
// balancer/platform/node executes it. docs/cores.md has the reasons.
package cores
