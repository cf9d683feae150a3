// Package node puts one scheduler together from its parts and runs it until it is told to stop: the one place that knows all of
// them. New makes it, Run serves until its context is done and then until nothing is owed, Reload reads the configuration
// again. With one core everything is on one loop; with several, a decider has the scheduler, and each core a loop with a
// frontend and a backend.
package node
