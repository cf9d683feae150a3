// Package discovery reads the platform's list of workers: all pages, within the rate that the platform allows, and no oftener than the bound on
// drains needs, but while a service lacks most of its workers.
//
// Reader makes the calls, Parse and Sort read a list, Merge says whether one differs from the one before, and Pace decides when to read next.
package discovery
