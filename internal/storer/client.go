package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	requestTimeout   = 2 * time.Second
	maxResponseBytes = 64 << 20
)

// Client implements Table and Objects over the reference platform's HTTP interface.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the reference platform at address (host:port). It opens no
// connection before the first request.
func NewClient(address string) *Client {
	tr := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}
	return &Client{base: "http://" + address, http: &http.Client{Transport: tr}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.post(ctx, "/table/get", Condition{Key: key}, &row)
	return row, err
}

// ScanRequest is the body of a request for a page of rows.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	err := c.post(ctx, "/table/scan", ScanRequest{prefix, after, limit}, &rows)
	return rows, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, tx Transaction) (uint64, error) {
	var version uint64
	err := c.post(ctx, "/table/commit", tx, &version)
	return version, err
}

// Put implements Objects.
func (c *Client) Put(ctx context.Context, key string, data []byte) error {
	_, err := c.do(ctx, http.MethodPut, "/object/"+key, data)
	return err
}

// Fetch implements Objects.
func (c *Client) Fetch(ctx context.Context, key string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, "/object/"+key, nil)
}

// VMs returns the reference platform's list of VMs, which lags behind the actual state.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	data, err := c.do(ctx, http.MethodGet, "/vms", nil)
	if err != nil {
		return nil, err
	}
	var vms []VM
	return vms, errors.Wrap(json.Unmarshal(data, &vms), "decode list of VMs")
}

func (c *Client) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	data, err := c.do(ctx, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Wrapf(ErrUnavailable, "malformed response of %s: %v", path, err)
	}
	return nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	// With GetBody, net/http would resend a POST after a failure on a reused connection.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%s %s: %v", method, path, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%s %s: %v", method, path, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return data, nil
	case http.StatusConflict:
		return nil, ErrConflict
	case http.StatusNotFound:
		return nil, ErrAbsent
	}
	return nil, errors.Wrapf(ErrUnavailable, "%s %s: status %d", method, path, resp.StatusCode)
}
