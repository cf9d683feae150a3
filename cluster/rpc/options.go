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

// Options of a connection.
type Options struct {
	Mux *Mux // what the other end may call; nil: nothing
	// A peer that says nothing for PingAfter gets a ping; after FailureTimeout the connection is closed. Zero for
	// the defaults.
	PingAfter, FailureTimeout time.Duration
	ConnectTimeout            time.Duration
	// DialContext makes the connection under a Conn; nil: TCP.
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
