// Package xmlfile reads an operator's XML file strictly into a Go value: what the value has no place for is an error that
// names file, line and element, and all that is wrong is reported at once. encoding/xml alone passes over unknown elements and
// attributes, so that a setting with a slip in its name would silently stay at its default.
package xmlfile
