// Package discovery reads the platform's list of workers. A read fetches all pages, within the call rate that the
// platform allows. Reads are no more frequent than the drain bound of the settings requires, except while a service is
// missing most of its workers.
//
// Reader makes the calls, Parse decodes a page, Sort orders the entries of a list, Merge reports whether a list differs
// from the previous one, and Pace decides when to read next.
package discovery
