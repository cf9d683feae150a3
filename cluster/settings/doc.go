// Package settings reads the settings file of a process: lines of the form a.b=value, with lists separated by commas.
// Unknown keys are ignored. The keys are an external format and must not change; the Go field names may.
package settings
