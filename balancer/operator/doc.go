// Package operator reads the operator's configuration file (see deploy/ravendale.xml). It contains settings that the
// platform does not provide and that are allowed only on other installations. Without a file, the program behaves as on
// the platform.
package operator
