// Package program implements the startup and shutdown that all processes of the system share: arguments, logs,
// settings, signals and exit codes.
package program
