// Package management implements the admin endpoint: one HTTP/1.1 call per connection, on a separate listener, so that operators can
// connect even if clients use up the connections of the main one.
package management
