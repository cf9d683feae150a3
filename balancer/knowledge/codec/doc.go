// Package codec encodes and decodes knowledge items, for the wire and for files. It does no I/O.
package codec
