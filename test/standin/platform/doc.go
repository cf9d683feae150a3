// Package platform stands in for the platform's service discovery: a list of workers that shows changes with a delay,
// is served in pages and has a rate limit.
package platform
