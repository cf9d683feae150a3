package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"ravendale/cluster/httpclient"
	"ravendale/cluster/wire"
)

// Limits on calls to the platform.
const (
	connectTimeout = 500 * time.Millisecond
	callTimeout    = 700 * time.Millisecond
	idleTimeout    = 30 * time.Second
	maxPageBytes   = 8 << 20
	maxPages       = 10_000
)

// ErrRateLimited is returned when the platform answers with status 429.
var ErrRateLimited = errors.New("discovery: the platform's rate limit was exceeded")

// Reader reads the list over a persistent connection. It is not safe for concurrent use.
type Reader struct {
	address string
	client  *httpclient.Client
}

// NewReader returns a reader of the list at the platform's address.
func NewReader(address string) *Reader {
	return &Reader{address: address, client: httpclient.New(httpclient.Options{
		Address: address, ConnectTimeout: connectTimeout, ExchangeTimeout: callTimeout, IdleTimeout: idleTimeout, MaxBody: maxPageBytes,
	})}
}

// Close closes the persistent connection.
func (r *Reader) Close() { r.client.Close() }

// Read returns the complete list, sorted, and the number of its pages. Gap is the minimum time between the starts of
// two calls.
func (r *Reader) Read(ctx context.Context, gap time.Duration) (*wire.Workers, int, error) {
	var entries []wire.Worker
	token := ""
	for pages := 1; pages <= maxPages; pages++ {
		started := time.Now()
		workers, next, err := r.fetchPage(ctx, token)
		if err != nil {
			return nil, pages, err
		}
		entries = append(entries, workers...)
		if next == "" {
			return Sort(entries), pages, nil
		}
		token = next
		if err := sleep(ctx, gap-time.Since(started)); err != nil {
			return nil, pages, err
		}
	}
	return nil, maxPages, fmt.Errorf("discovery: the list has more than %d pages", maxPages)
}

func sleep(ctx context.Context, pause time.Duration) error {
	if pause <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Reader) fetchPage(ctx context.Context, token string) ([]wire.Worker, string, error) {
	target := "/instances"
	if token != "" {
		target += "?" + url.Values{"pageToken": {token}}.Encode()
	}
	response, err := r.client.Do(ctx, &httpclient.Request{Method: http.MethodGet, Target: target, Host: r.address})
	if err != nil {
		return nil, "", fmt.Errorf("discovery: %s: %w", r.address, err)
	}
	switch response.Status {
	case http.StatusOK:
		return Parse(response.Body)
	case http.StatusTooManyRequests:
		return nil, "", ErrRateLimited
	default:
		return nil, "", fmt.Errorf("discovery: %s answered with status %d", r.address, response.Status)
	}
}
