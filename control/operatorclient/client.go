package operatorclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"
)

// Limits of a call.
const (
	defaultTimeout = 30 * time.Second // for all attempts of a call, unless Options set another
	// retireTimeout bounds how long an order to retire a store is retried.
	retireTimeout = 5 * time.Second

	connectTimeout = 500 * time.Millisecond
	maxAnswerBytes = 65 << 20
	maxRedirects   = 2
)

// Options configures a Client.
type Options struct {
	Addresses []string      // host:port, tried in this order; at least one is required
	Timeout   time.Duration // for all attempts of a call; 0: 30 seconds
	// Sleep waits between attempts; nil: by the system's clock.
	Sleep func(ctx context.Context, pause time.Duration) error
}

// Client sends calls to a list of addresses, one after another. It is safe for concurrent use.
type Client struct{ options Options }

// ErrNoAddress is returned by New if Options has no addresses.
var ErrNoAddress = errors.New("operatorclient: no address to call")

// New checks the addresses and returns a client. It opens no connection.
func New(options Options) (*Client, error) {
	if len(options.Addresses) == 0 {
		return nil, ErrNoAddress
	}
	for _, address := range options.Addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("operatorclient: address %q: %w", address, err)
		}
	}
	if options.Timeout <= 0 {
		options.Timeout = defaultTimeout
	}
	if options.Sleep == nil {
		options.Sleep = sleep
	}
	return &Client{options: options}, nil
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
