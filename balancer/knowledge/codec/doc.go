// Package codec encodes what schedulers know, on the wire and on disk, and decodes it. It does no I/O.
package codec
