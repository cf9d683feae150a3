// Package dispatch delivers the messages that an edge holds. The Core decides: time and events in, actions out, with one
// decision module for each service. The Plane gives it the clock, the workers' connections and the queue.
package dispatch
