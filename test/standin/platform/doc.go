// Package platform stands in for the platform's service discovery: a list of workers that trails the truth, is served in pages and
// limits the rate of calls.
package platform
