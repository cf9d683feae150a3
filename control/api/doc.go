// Package api serves the operators' HTTP interface: it sets, patches and shows the configuration, retires machines of
// the queue, and reports the status of the system.
//
// Status 503 guarantees that nothing was changed. After status 504 the order may or may not take effect.
package api
