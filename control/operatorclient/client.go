package operatorclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Bounds of an order.
const (
	defaultWithin = 30 * time.Second // until an order without a clear answer is given up
	// retireWithin bounds how long an order other than a configuration is sent again.
	retireWithin = 5 * time.Second

	connectWithin = 500 * time.Millisecond
	maxAnswer     = 65 << 20 // bytes
	maxRedirects  = 2
)

// Options of a Client.
type Options struct {
	Addresses []string      // host:port, tried in this order; at least one
	Within    time.Duration // 0: DefaultWithin
	// Sleep waits between attempts; nil: real time.
	Sleep func(ctx context.Context, pause time.Duration) error
}

// Client calls one after another of some addresses. It may be used by several goroutines.
type Client struct {
	options Options
	http    *http.Client
}

// ErrNoAddress is returned by New.
var ErrNoAddress = errors.New("operatorclient: no address to call")

// New checks the addresses and makes a client. Nothing is called yet.
func New(options Options) (*Client, error) {
	if len(options.Addresses) == 0 {
		return nil, ErrNoAddress
	}
	for _, address := range options.Addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("operatorclient: address %q: %w", address, err)
		}
	}
	if options.Within <= 0 {
		options.Within = defaultWithin
	}
	if options.Sleep == nil {
		options.Sleep = sleep
	}
	return &Client{options: options, http: newHTTP()}, nil
}

// newHTTP makes connections that are used once: one that was idle may be dead without a sign.
func newHTTP() *http.Client {
	dialer := &net.Dialer{Timeout: connectWithin}
	return &http.Client{
		Transport:     &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
