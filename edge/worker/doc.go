// Package worker delivers messages to workers over HTTP/1.1: one request at a time on each connection, idle connections kept for
// the next, and an outcome for each delivery that says what is known of the run. It decides nothing about retries.
package worker
