// Package config reads what a scheduler is given at its start: a JSON file named by PROXY_CONFIG, and the
// PROXY_ variables, which come before the file. JSON is read with encoding/json: the adapter reads none.
package config
