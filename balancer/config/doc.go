// Package config reads the configuration of a scheduler: a JSON file named by PROXY_CONFIG, and the other PROXY_
// environment variables, which take precedence over the file. It decodes JSON with encoding/json, since the adapter
// (package internal/wire) does not.
package config
