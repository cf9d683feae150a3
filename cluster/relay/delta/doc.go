// Package delta encodes the difference between two byte strings, whatever their content. A delta is shorter than its
// result if that has much in common with the base. It contains the length and the checksum of the result, so that
// applying it to another base is detected as an error.
package delta
