// Package xmlfile strictly decodes an operator's XML file into a Go value: an element or attribute that has no field is
// an error that names file, line and element, and all errors are reported at once. encoding/xml ignores unknown
// elements and attributes, so that a setting with a misspelt name would silently keep its default.
package xmlfile
