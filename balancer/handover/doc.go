// Package handover joins two processes that are one scheduler for a time: the one that runs and the new version that takes its
// place. It sends messages between them, a JSON object a line on a Unix socket, some with a client's connection, and decides
// nothing. Two versions of the program talk by it, so a message keeps its names in JSON: golden files hold them.
package handover
