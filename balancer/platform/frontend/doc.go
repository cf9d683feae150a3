// Package frontend implements the client side of the platform's protocol: it turns requests into exchanges and answers into
// responses, each exactly once, and bounds the connections and the requests in progress. A Frontend belongs to one loop; the
// ConnLimits are shared by all frontends.
package frontend
