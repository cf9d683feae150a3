// Package settings reads the settings file of a process: lines of the form a.b=value, lists separated by commas. Fields that it does not know
// are ignored. The keys are the users' and stay letter for letter; the names of the fields are ours.
package settings
