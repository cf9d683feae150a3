// Command kit2 plays the scripted cases of the second review: it starts the project's programs as separate processes on
// loopback addresses, with stand-ins for clients, operator, platform and workers, disturbs them, and judges what the
// stand-ins saw.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run.
package main
