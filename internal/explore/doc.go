// Package explore searches every state that a small model can reach: breadth first, each state once, with an invariant checked at each.
// It is test support, for models of the pure cores of this module: a model owns the cores, the network, the disks and the clock, and says
// which actions are possible (a delivery, a loss, a step of time, a crash). The first violation found has a shortest trace, which is
// printed as Go text that Replay takes, so that it can be kept as a test.
//
// The search is exact as far as the model's State is: two systems with equal States must behave alike from there on. Encoder and Clone
// help to make State and Clone of a system without a hand-written list of fields, which a later field would be missing from.
package explore
