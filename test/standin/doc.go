// Package standin combines the stand-ins for the environment of the system: the platform with its list, the workers on
// it, and one shared history.
package standin
