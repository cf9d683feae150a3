// Package answers writes HTTP/1.1 answers in the forms that a back end may send: valid ones, which RFC 9110 and RFC 9112
// allow, and malformed ones, which they forbid. Tests of all readers of answers share them.
package answers
