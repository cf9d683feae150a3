// Package program has what the processes of the system share at their start and end: arguments, logs, settings, signals and the exit code.
package program
