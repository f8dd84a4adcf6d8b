package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	// maxResumes limits consecutive resumes that return no new chunk.
	maxResumes    = 3
	resumeBackoff = 50 * time.Millisecond
	stallTimeout  = 15 * time.Second
	cancelTimeout = time.Second
	maxEventBytes = 1 << 20
)

// ModelRequest is a call to a model engine.
type ModelRequest struct {
	// ID identifies the stream at the engine, so that it can be resumed and canceled.
	ID string
	// HoldProgram is the program for which the engine may hold the cache of this call, empty if
	// it should not.
	HoldProgram string
	Priority    int
	Model       string
	Messages    []json.RawMessage
	MaxTokens   int
}

// ModelResult is a complete answer with its token counts and timings.
type ModelResult struct {
	Text             string
	Finish           string
	PromptTokens     int
	CompletionTokens int
	CachedTokens     int
	// TimeToFirstToken is the time to the first token, TokenGap the mean time between
	// tokens, and Duration the total time.
	TimeToFirstToken, TokenGap, Duration time.Duration
}

// Sink receives the text of each token as it arrives.
type Sink func(text string)

// chunk is one event of an engine's stream.
type chunk struct {
	ID      string `json:"id"`
	Number  int    `json:"number"`
	Content string `json:"content"`
	Finish  string `json:"finish_reason"`
	Usage   *struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Cached     int `json:"cached_tokens"`
	} `json:"usage"`
}

// Dispatcher sends calls to targets, each request on a connection of its own: responses of
// targets do not name their requests, so that an extra response on a connection in use again
// would be taken for that to the next call.
type Dispatcher struct {
	client *http.Client
}

// New returns a dispatcher.
func New() *Dispatcher {
	tr := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return &Dispatcher{client: &http.Client{Transport: tr}}
}

// modelStream is a model stream in progress, which may span several HTTP responses.
type modelStream struct {
	request      ModelRequest
	sink         Sink
	startedAt    time.Time
	firstTokenAt time.Time
	// next is the number of the next expected chunk.
	next int
	// sent is set once the engine may have started the call.
	sent   bool
	text   strings.Builder
	result *ModelResult
	// overLimit is set if the engine did not stop at the token limit.
	overLimit bool
}

// Model runs a model call and returns its complete answer. Errors are of type *Error.
func (d *Dispatcher) Model(ctx context.Context, address string, q ModelRequest, sink Sink) (ModelResult, error) {
	body, err := json.Marshal(struct {
		Model     string            `json:"model"`
		Messages  []json.RawMessage `json:"messages"`
		MaxTokens int               `json:"max_tokens"`
	}{q.Model, q.Messages, q.MaxTokens})
	if err != nil {
		return ModelResult{}, newError(classifier.BadRequest, classifier.RanNo, err)
	}
	s := &modelStream{request: q, sink: sink, startedAt: time.Now()}
	err = d.readStream(ctx, s, http.MethodPost, d.streamURL(address, q.ID), body)
	for remaining := maxResumes; err != nil && remaining > 0 && ctx.Err() == nil && isResumable(err); remaining-- {
		select {
		case <-time.After(resumeBackoff):
		case <-ctx.Done():
		}
		before := s.next
		err = d.readStream(ctx, s, http.MethodGet, d.streamURL(address, q.ID)+"?from="+strconv.Itoa(s.next), nil)
		if s.next > before {
			remaining = maxResumes + 1
		}
	}
	if err != nil {
		d.Cancel(address, q.ID)
		return ModelResult{Text: s.text.String(), CompletionTokens: s.next}, err
	}
	if s.overLimit {
		d.Cancel(address, q.ID)
	}
	return *s.result, nil
}

func isResumable(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == classifier.TargetBroken
}

func (d *Dispatcher) streamURL(address, id string) string {
	return "http://" + address + "/v1/streams/" + id
}

// readStream opens or resumes the stream and handles its chunks up to the end marker.
func (d *Dispatcher) readStream(ctx context.Context, s *modelStream, method, url string, body []byte) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(stallTimeout, func() { cancel(errors.New("model stream stalled")) })
	defer stall.Stop()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return newError(classifier.TargetAway, classifier.RanNo, err)
	}
	req.GetBody = nil
	req.Header.Set("Priority", strconv.Itoa(s.request.Priority))
	if s.request.HoldProgram != "" {
		req.Header.Set("Hold", s.request.HoldProgram)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		s.sent = s.sent || !isDialError(err)
		return d.classifyStreamError(ctx, s, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return newError(classifier.TargetRefused, s.ran(), errors.Errorf("engine returned status %d", resp.StatusCode))
	}
	s.sent = true
	for ev, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return d.classifyStreamError(ctx, s, err)
		}
		stall.Reset(stallTimeout)
		done, err := s.handleChunk([]byte(ev.Data))
		if done || err != nil {
			return err
		}
	}
	return d.classifyStreamError(ctx, s, errors.New("model stream ended without an end marker"))
}

// classifyStreamError returns the Error of a broken stream. The call did not run if no
// connection to the engine was established.
func (d *Dispatcher) classifyStreamError(ctx context.Context, s *modelStream, err error) error {
	if !s.sent {
		return newError(classifier.TargetAway, classifier.RanNo, err)
	}
	if cause := context.Cause(ctx); cause != nil {
		return newError(classifier.TargetTimeout, classifier.RanUnknown, cause)
	}
	return newError(classifier.TargetBroken, classifier.RanUnknown, err)
}

func (s *modelStream) ran() classifier.Ran {
	if !s.sent {
		return classifier.RanNo
	}
	return classifier.RanUnknown
}

// handleChunk checks and processes one chunk. It returns true if the chunk ends the answer.
func (s *modelStream) handleChunk(data []byte) (bool, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return false, newError(classifier.TargetBroken, classifier.RanUnknown, errors.Wrap(err, "decode chunk"))
	}
	if c.ID != s.request.ID || c.Number != s.next {
		return false, newError(classifier.TargetBroken, classifier.RanUnknown,
			errors.Errorf("received chunk %d of stream %q, expected chunk %d of stream %q", c.Number, c.ID, s.next, s.request.ID))
	}
	if c.Finish != "" {
		return true, s.handleEnd(c)
	}
	if s.request.MaxTokens > 0 && s.next >= s.request.MaxTokens {
		return true, s.stopAtLimit()
	}
	if s.next == 0 {
		s.firstTokenAt = time.Now()
	}
	s.next++
	s.text.WriteString(c.Content)
	if s.sink != nil {
		s.sink(c.Content)
	}
	return false, nil
}

// stopAtLimit ends the answer of an engine that generates past the token limit. There is
// no usage report then, so the prompt is counted as one token per byte.
func (s *modelStream) stopAtLimit() error {
	s.overLimit = true
	prompt := 0
	for _, m := range s.request.Messages {
		prompt += len(m)
	}
	s.setResult("length", prompt, 0)
	return nil
}

func (s *modelStream) handleEnd(c chunk) error {
	if c.Finish == "cancelled" || c.Usage == nil {
		return newError(classifier.TargetBroken, classifier.RanUnknown, errors.Errorf("model stream ended with finish reason %q", c.Finish))
	}
	s.setResult(c.Finish, c.Usage.Prompt, c.Usage.Cached)
	return nil
}

func (s *modelStream) setResult(reason string, prompt, cached int) {
	now := time.Now()
	if s.next == 0 {
		s.firstTokenAt = now
	}
	r := &ModelResult{
		Text: s.text.String(), Finish: reason, PromptTokens: prompt,
		CompletionTokens: s.next, CachedTokens: cached, TimeToFirstToken: s.firstTokenAt.Sub(s.startedAt), Duration: now.Sub(s.startedAt),
	}
	if s.next > 1 {
		r.TokenGap = now.Sub(s.firstTokenAt) / time.Duration(s.next-1)
	}
	s.result = r
}

// Cancel asks an engine to stop a stream. It is best effort and ignores errors.
func (d *Dispatcher) Cancel(address, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, d.streamURL(address, id), nil)
	if err != nil {
		return
	}
	if resp, err := d.client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
