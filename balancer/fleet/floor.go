//go:build !mutant

package fleet

// keepsFloor is false in a build with the tag mutant alone, for the checkers of package fleettest to catch.
const keepsFloor = true
