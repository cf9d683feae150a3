// Package lab plays the systems that ravendale serves on loopback sockets, drives load at it, and runs experiments. It is
// for this project's own measurements and tests; nothing of it is linked into the scheduler.
package lab
