// Package operator reads the operator's own file, deploy/ravendale.xml or one like it: what the platform does not say and
// permits on other installations alone. Without a file the program is what it is on the platform.
package operator
