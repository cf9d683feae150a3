// Package httpclient reads the answers of HTTP/1.1 servers outside of the system, and sends requests to them.
//
// A Reader reads responses from a connection, and a Client keeps a connection to one address and sends one request at a
// time on it. Both take only what package http1 takes: a response that RFC 9110 or RFC 9112 forbids is an error, whatever
// its status, and the connection that it came on must be closed. What such a response was to say is not known.
//
// The package retries nothing and follows no redirections.
package httpclient
