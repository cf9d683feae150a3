// Package lab emulates the systems around the scheduler (nodes, discovery and clients) on loopback sockets, generates load
// and runs experiments. It serves this project's own measurements and tests; the scheduler does not link any of it.
package lab
