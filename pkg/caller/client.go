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
	firstPause     = 50 * time.Millisecond
	lastPause      = 2 * time.Second
	maxAnswerBytes = 32 << 20
)

// Options configures a Client.
type Options struct {
	// Base is the address of the service, such as http://10.0.0.1:8080.
	Base string
	// Key is the bearer key of the client account.
	Key string
	// HTTP makes the requests; nil takes a client of its own.
	HTTP *http.Client
}

// Client makes requests for one client account.
type Client struct {
	o Options
}

// New returns a client.
func New(o Options) *Client {
	if o.HTTP == nil {
		o.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute}}
	}
	return &Client{o: o}
}

// request is one HTTP request that can be sent again.
type request struct {
	method string
	path   string
	header map[string]string
	body   []byte
}

// send sends a request once; a broken connection is a Doubt fault with ran unknown.
func (c *Client) send(ctx context.Context, q request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, q.method, c.o.Base+q.path, bytes.NewReader(q.body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	req.Header.Set("Authorization", "Bearer "+c.o.Key)
	req.Header.Set("Content-Type", "application/json")
	for k, v := range q.header {
		req.Header.Set(k, v)
	}
	resp, err := c.o.HTTP.Do(req)
	if err != nil {
		return nil, classifier.New(classifier.Doubt, classifier.RanUnknown, "%v", err)
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, readFault(resp)
}

// failure is the body of a failed request.
type failure struct {
	Error struct {
		Message      string         `json:"message"`
		Type         string         `json:"type"`
		Code         string         `json:"code"`
		Ran          classifier.Ran `json:"ran"`
		RetryAfterMS int64          `json:"retry-after-ms"`
	} `json:"error"`
}

func readFault(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return classifier.New(classifier.Doubt, classifier.RanUnknown, "%v", err)
	}
	return parseFault(data, resp.StatusCode)
}

func parseFault(data []byte, status int) error {
	var f failure
	if err := json.Unmarshal(data, &f); err != nil || f.Error.Code == "" {
		return classifier.New(classifier.Internal, classifier.RanUnknown, "status %d without a fault", status)
	}
	code, err := strconv.Atoi(f.Error.Code)
	if err != nil {
		return classifier.New(classifier.Internal, classifier.RanUnknown, "code %q is no number", f.Error.Code)
	}
	return &classifier.Fault{
		Code: classifier.Code(code), Name: f.Error.Type, Message: f.Error.Message,
		Ran: f.Error.Ran, RetryAfterMS: f.Error.RetryAfterMS,
	}
}

// do sends a request until it succeeds, fails for good or the context ends.
// Repeating is safe for requests that the service recognises as the same.
func (c *Client) do(ctx context.Context, q request, read func(*http.Response) error) error {
	pause := firstPause
	doubt := false
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
		doubt = doubt || f.Ran != classifier.RanNo
		if ctx.Err() != nil || !retryable(err) {
			return settled(f, doubt)
		}
		wait := max(f.RetryAfter(), pause)
		wait += rand.N(wait/4 + 1)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return settled(f, doubt)
		}
		pause = min(2*pause, lastPause)
	}
}

// settled returns the last fault; an earlier try in doubt leaves the whole in doubt.
func settled(f *classifier.Fault, doubt bool) error {
	if doubt && f.Ran == classifier.RanNo {
		return f.With(classifier.RanUnknown)
	}
	return f
}

// retryable reports whether the same request may succeed later.
func retryable(err error) bool {
	switch classifier.From(err).Code {
	case classifier.Doubt, classifier.StoreAway, classifier.OwnerAway, classifier.Stopping, classifier.TicketExpired,
		classifier.ConfigUnsure, classifier.TargetAway, classifier.TargetBroken, classifier.Overloaded,
		classifier.ShareExhausted, classifier.TooManyWaiting, classifier.CallOutOfOrder, classifier.TargetTimeout:
		return true
	}
	return false
}

// getJSON sends a request and decodes its answer.
func (c *Client) getJSON(ctx context.Context, q request, out any) error {
	return c.do(ctx, q, func(resp *http.Response) error {
		err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(out)
		if err != nil {
			return classifier.New(classifier.Doubt, classifier.RanUnknown, "answer: %v", err)
		}
		return nil
	})
}
