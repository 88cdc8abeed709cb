package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/internal/responsehead"
	"github.com/briarturn/briarturn/slo"
)

const (
	clientTimeout    = 30 * time.Second
	maxResponseBytes = 64 << 20 // enough for the service-level counts of thousands of series
)

// Client calls the admin interface of one process. It is safe for
// concurrent use.
type Client struct {
	base string
	http *http.Client
}

// transport is shared by all Clients.
var transport = http.DefaultTransport.(*http.Transport)

// NewClient returns a client for an address, given as ip:port or as a URL.
func NewClient(address string) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{
		base: strings.TrimSuffix(address, "/"),
		http: &http.Client{Transport: responsehead.Transport{Base: transport}, Timeout: clientTimeout},
	}
}

// Address returns the base URL.
func (c *Client) Address() string { return c.base }

// Status returns the state of the process.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.call(ctx, http.MethodGet, "/status", nil, &out)
	return out, err
}

// Drain starts a drain of the named process or backend server and returns its
// state. If the drain is already in progress, it only returns the state.
func (c *Client) Drain(ctx context.Context, name string) (DrainState, error) {
	body, err := json.Marshal(DrainRequest{Name: name})
	if err != nil {
		return DrainState{}, errors.Annotate(err, "step encode drain")
	}
	var out DrainState
	err = c.call(ctx, http.MethodPost, "/drain", body, &out)
	return out, err
}

// ReleasePart ends the refusal of a part of prompts.
func (c *Client) ReleasePart(ctx context.Context, r PartRelease) error {
	body, err := json.Marshal(r)
	if err != nil {
		return errors.Annotate(err, "step encode release")
	}
	var out PartRelease
	return c.call(ctx, http.MethodPost, "/parts/release", body, &out)
}

// SLO returns the service-level counts of the process.
func (c *Client) SLO(ctx context.Context) (slo.Snapshot, error) {
	var out slo.Snapshot
	err := c.call(ctx, http.MethodGet, "/slo", nil, &out)
	return out, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Annotatef(err, "step %s, peer %s", path, c.base)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.WithType(errors.Annotatef(err, "step %s, peer %s", path, c.base), ErrUnavailable)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return errors.WithType(errors.Annotatef(err, "step read %s, peer %s", path, c.base), ErrUnavailable)
	}
	if len(data) > maxResponseBytes {
		return errors.Errorf("step read %s, peer %s: over %d bytes", path, c.base, maxResponseBytes)
	}
	if resp.StatusCode != http.StatusOK {
		return c.errorFromResponse(path, resp.StatusCode, data)
	}
	return errors.Annotatef(json.Unmarshal(data, out), "step decode %s, peer %s", path, c.base)
}

// errorFromResponse converts a response other than 200 into an error. Status 404
// becomes ErrUnknownName and 503 becomes ErrUnavailable.
func (c *Client) errorFromResponse(path string, status int, data []byte) error {
	var f errorBody
	if json.Unmarshal(data, &f) != nil || f.Error == "" {
		f.Error = http.StatusText(status)
	}
	err := errors.Errorf("status %d: %s", status, f.Error)
	switch {
	case status == http.StatusNotFound:
		err = errors.WithType(err, ErrUnknownName)
	case status == http.StatusServiceUnavailable:
		err = errors.WithType(err, ErrUnavailable)
	}
	return errors.Annotatef(err, "step %s, peer %s", path, c.base)
}
