// Package node assembles a scheduler process from its parts and runs it. It is the only package that depends on all of them. New
// creates a Node; Run serves until its context is done, and then until all requests are answered; Reload reads the
// configuration again. With one core, everything runs on one loop. With several, the scheduler runs on the decider's loop, and
// each core has its own loop with a frontend and a backend.
package node
