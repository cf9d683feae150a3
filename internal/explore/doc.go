// Package explore searches all states that a small model can reach: breadth first, each state once, with an invariant
// checked in each. It is test support, for models of the packages of this module that do no I/O: a model owns these
// packages' state, the network, the disks and the clock, and defines which actions are possible (a delivery, a loss,
// a step of time, a crash). The first violation found has a shortest trace, which is printed as Go source that can be
// passed to Replay, so that it can be kept as a test.
//
// The search is only as exact as the model's State: two systems with equal States must behave identically from there
// on. Encoder and Clone help to implement State and Clone of a system without a hand-written list of fields, in which
// a field added later would be missing.
package explore
