//go:build !mutant

package fleet

// keepsFloor is false only in builds with the tag mutant, whose fault the checkers of package fleettest must detect.
const keepsFloor = true
