// Package backend is the server side of the platform's protocol: it sends dispatches to backend servers and hears from them, by
// their responses and by their call-backs, what became of each. All of it belongs to one loop.
package backend
