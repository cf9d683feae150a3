// Package frontend is the client side of the platform's protocol: it turns requests into exchanges and answers into responses,
// each exactly once, and bounds connections and requests in progress. All of it belongs to one loop but the limits, which all
// share.
package frontend
