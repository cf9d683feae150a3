// Package management is the admin endpoint: one HTTP/1.1 call per connection, on a listener of its own, so that no crowd of
// clients keeps operators out.
package management
