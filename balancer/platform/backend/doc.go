// Package backend implements the server side of the platform's protocol: it sends dispatches to backend servers, and learns
// their outcomes from the servers' responses and call-backs. A Backend may be used only in turns of its loop.
package backend
