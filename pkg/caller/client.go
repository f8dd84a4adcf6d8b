package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
	maxResponseBytes = 32 << 20
)

// Options configures a Client.
type Options struct {
	// Base is the address of the service, such as http://10.0.0.1:8080.
	Base string
	// Key is the bearer key of the client account.
	Key string
	// HTTP sends the requests; nil selects a new client with its own connection pool.
	HTTP *http.Client
}

// Client sends requests on behalf of one client account.
type Client struct {
	options Options
}

// New returns a client with the given options.
func New(o Options) *Client {
	if o.HTTP == nil {
		o.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}}
	}
	return &Client{options: o}
}

// retryableRequest is an HTTP request that can be sent several times.
type retryableRequest struct {
	method string
	path   string
	header map[string]string
	body   []byte
}

// send sends a request once. It reports a broken connection as a Doubt fault with RanUnknown.
func (c *Client) send(ctx context.Context, q retryableRequest) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, q.method, c.options.Base+q.path, bytes.NewReader(q.body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+c.options.Key)
	req.Header.Set("Content-Type", "application/json")
	for k, v := range q.header {
		req.Header.Set(k, v)
	}
	resp, err := c.options.HTTP.Do(req)
	if err != nil {
		return nil, classifier.New(classifier.Doubt, classifier.RanUnknown, "%v", err)
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, readFault(resp)
}

// errorResponse is the body of a failed request.
type errorResponse struct {
	Error struct {
		Message      string         `json:"message"`
		Type         string         `json:"type"`
		Code         string         `json:"code"`
		Ran          classifier.Ran `json:"ran"`
		RetryAfterMS int64          `json:"retry-after-ms"`
	} `json:"error"`
}

func readFault(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return classifier.New(classifier.Doubt, classifier.RanUnknown, "%v", err)
	}
	return parseFault(data, resp.StatusCode)
}

func parseFault(data []byte, status int) error {
	var f errorResponse
	if err := json.Unmarshal(data, &f); err != nil || f.Error.Code == "" {
		return classifier.New(classifier.Internal, classifier.RanUnknown, "response with status %d has no fault in its body", status)
	}
	code, err := strconv.Atoi(f.Error.Code)
	if err != nil {
		return classifier.New(classifier.Internal, classifier.RanUnknown, "fault code %q is not a number", f.Error.Code)
	}
	return &classifier.Fault{
		Code: classifier.Code(code), Name: f.Error.Type, Message: f.Error.Message,
		Ran: f.Error.Ran, RetryAfterMS: f.Error.RetryAfterMS,
	}
}

// doWithRetries sends a request until it succeeds, fails permanently or the context is done.
// This is safe only for requests that the service recognizes as repeats of the first one.
func (c *Client) doWithRetries(ctx context.Context, q retryableRequest, read func(*http.Response) error) error {
	backoff := minBackoff
	ambiguous := false
	for {
		resp, err := c.send(ctx, q)
		if err == nil {
			err = read(resp)
			_ = resp.Body.Close()
		}
		if err == nil {
			return nil
		}
		f := classifier.From(err)
		ambiguous = ambiguous || f.Ran != classifier.RanNo
		if ctx.Err() != nil || !isRetryable(err) {
			return finalFault(f, ambiguous)
		}
		wait := max(f.RetryAfter(), backoff)
		wait += rand.N(wait/4 + 1)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return finalFault(f, ambiguous)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// finalFault returns the fault of the last attempt. It changes RanNo to RanUnknown if an
// earlier attempt may have run.
func finalFault(f *classifier.Fault, ambiguous bool) error {
	if ambiguous && f.Ran == classifier.RanNo {
		return f.With(classifier.RanUnknown)
	}
	return f
}

// isRetryable reports whether the same request may succeed later.
func isRetryable(err error) bool {
	switch classifier.From(err).Code {
	case classifier.Doubt, classifier.StoreAway, classifier.OwnerAway, classifier.Stopping, classifier.TicketExpired,
		classifier.ConfigUnsure, classifier.TargetAway, classifier.TargetBroken, classifier.Overloaded,
		classifier.ShareExhausted, classifier.TooManyWaiting, classifier.CallOutOfOrder, classifier.TargetTimeout:
		return true
	}
	return false
}

// requestJSON sends a request, with retries, and decodes its JSON response into out.
func (c *Client) requestJSON(ctx context.Context, q retryableRequest, out any) error {
	return c.doWithRetries(ctx, q, func(resp *http.Response) error {
		err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out)
		if err != nil {
			return classifier.New(classifier.Doubt, classifier.RanUnknown, "decode response: %v", err)
		}
		return nil
	})
}
