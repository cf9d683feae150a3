package rpc

import (
	"context"
	"net"
	"time"
)

// Defaults of Options.
const (
	DefaultPingAfter      = 400 * time.Millisecond
	DefaultFailureTimeout = 1200 * time.Millisecond
	DefaultConnectTimeout = 500 * time.Millisecond
)

// Options are the options of a connection.
type Options struct {
	Mux *Mux // handlers of the other end's calls; nil: none
	// PingAfter is the interval at which a peer that has sent nothing is pinged; after FailureTimeout without a frame
	// the connection is closed. Zero means the default.
	PingAfter, FailureTimeout time.Duration
	ConnectTimeout            time.Duration
	// DialContext makes the network connection; nil: TCP.
	DialContext func(ctx context.Context, address string) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	if o.PingAfter <= 0 {
		o.PingAfter = DefaultPingAfter
	}
	if o.FailureTimeout <= 0 {
		o.FailureTimeout = DefaultFailureTimeout
	}
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = DefaultConnectTimeout
	}
	if o.Mux == nil {
		o.Mux = NewMux()
	}
	if o.DialContext == nil {
		dialer := net.Dialer{Timeout: o.ConnectTimeout, KeepAlive: -1}
		o.DialContext = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", address)
		}
	}
	return o
}
