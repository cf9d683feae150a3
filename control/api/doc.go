// Package api is the operator's HTTP interface: it sets, patches and shows the configuration, retires machines of the queue, and answers
// with the status of the system.
//
// An answer of 503 guarantees that nothing was changed; after 504 the order may or may not take effect.
package api
