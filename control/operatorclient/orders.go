package operatorclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"ravendale/cluster/catalog"
	"ravendale/control/status"
)

const baseHeader = "Base-Version"

// Document is a configuration of the control plane. If there is none yet, Version is 0 and Body is empty.
type Document struct {
	Version uint64
	Body    []byte
}

// Show returns the newest configuration.
func (c *Client) Show(ctx context.Context) (*Document, error) {
	document := &Document{}
	err := c.do(ctx, c.get("/v1/config/show", func(body []byte) error {
		config, err := catalog.Load(body)
		if err != nil {
			return err
		}
		document.Version, document.Body = config.Version, body
		return nil
	}))
	var failure *Error
	if errors.As(err, &failure) && failure.Kind == KindNotFound {
		return document, nil
	}
	return document, err
}

// Set replaces the configuration, whose current version must be base, and returns the new version.
func (c *Client) Set(ctx context.Context, base uint64, document []byte) (uint64, error) {
	return c.change(ctx, "/v1/config/set", base, document)
}

// Patch changes items of the configuration, whose current version must be base, and returns the new version.
func (c *Client) Patch(ctx context.Context, base uint64, patch []byte) (uint64, error) {
	return c.change(ctx, "/v1/config/patch", base, patch)
}

func (c *Client) change(ctx context.Context, path string, base uint64, body []byte) (uint64, error) {
	var taken struct {
		Version uint64 `json:"version"`
	}
	err := c.do(ctx, &call{
		method: http.MethodPost, path: path, body: body, timeout: c.options.Timeout,
		header: map[string]string{baseHeader: strconv.FormatUint(base, 10)},
		accept: func(body []byte) error { return json.Unmarshal(body, &taken) },
	})
	return taken.Version, err
}

// StartRetire orders that a machine of the queue be emptied within the deadline.
func (c *Client) StartRetire(ctx context.Context, node string, deadline time.Duration) error {
	body, err := json.Marshal(struct {
		DeadlineS float64 `json:"deadlineS"`
	}{deadline.Seconds()})
	if err != nil {
		return err
	}
	return c.do(ctx, &call{
		method: http.MethodPost, path: "/v1/retire/" + url.PathEscape(node) + "/start", body: body,
		timeout: min(c.options.Timeout, retireTimeout),
		accept:  func([]byte) error { return nil },
	})
}

// The states of a machine that is being retired.
const (
	RetireRunning = "running"
	RetireDone    = "done"
)

// RetireState returns the state of a machine's retirement: RetireRunning or RetireDone.
func (c *Client) RetireState(ctx context.Context, node string) (string, error) {
	var answered struct {
		State string `json:"state"`
	}
	err := c.do(ctx, c.get("/v1/retire/"+url.PathEscape(node)+"/show", func(body []byte) error {
		if err := json.Unmarshal(body, &answered); err != nil {
			return err
		}
		if answered.State != RetireRunning && answered.State != RetireDone {
			return fmt.Errorf("operatorclient: unknown retirement state %q", answered.State)
		}
		return nil
	}))
	return answered.State, err
}

// Status returns the status document of the leader, or that of another control process if the leader can't be reached.
func (c *Client) Status(ctx context.Context) (*status.Status, error) {
	seen, err := c.status(ctx)
	if err != nil || seen.Core.Leading || seen.Core.LeaderAdmin == "" {
		return seen, err
	}
	leader := *c
	leader.options.Addresses = []string{seen.Core.LeaderAdmin}
	leader.options.Timeout = baseAttemptTimeout
	if better, err := leader.status(ctx); err == nil {
		return better, nil
	}
	return seen, nil
}

func (c *Client) status(ctx context.Context) (*status.Status, error) {
	seen := &status.Status{}
	err := c.do(ctx, c.get("/v1/status", func(body []byte) error {
		*seen = status.Status{}
		return json.Unmarshal(body, seen)
	}))
	return seen, err
}

func (c *Client) get(path string, accept func(body []byte) error) *call {
	return &call{method: http.MethodGet, path: path, timeout: c.options.Timeout, accept: accept}
}
