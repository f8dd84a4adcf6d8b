package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/pkg/classifier"
)

// Message is a chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ProgramOptions describes a new program.
type ProgramOptions struct {
	// ID is the program's id. If it is empty, the service chooses one.
	ID string
	// Parent is the id of the parent program if the program is a sub-agent.
	Parent string
	// Budget limits the program's tokens. It may be zero for a sub-agent.
	Budget int
}

// View is the state of a program.
type View struct {
	ID       string    `json:"id"`
	State    string    `json:"state"`
	Budget   int       `json:"budget"`
	Spent    int       `json:"spent"`
	Calls    int       `json:"calls"`
	Messages []Message `json:"messages"`
}

// Program is a program whose calls run in order. Only one call may be in flight at a time.
type Program struct {
	client *Client
	id     string
	mu     sync.Mutex
	next   int
}

// Create creates a program. Repeating it with the same id and budget has no further effect.
func (c *Client) Create(ctx context.Context, o ProgramOptions) (*Program, error) {
	body, err := json.Marshal(struct {
		ID     string `json:"id,omitempty"`
		Parent string `json:"parent,omitempty"`
		Budget int    `json:"budget"`
	}{o.ID, o.Parent, o.Budget})
	if err != nil {
		return nil, errors.Wrap(err, "encode program")
	}
	var v View
	if err := c.requestJSON(ctx, retryableRequest{method: http.MethodPost, path: "/v1/programs", body: body}, &v); err != nil {
		return nil, err
	}
	return c.Resume(v.ID, v.Calls), nil
}

// Resume returns an existing program that has already made the given number of calls.
func (c *Client) Resume(id string, calls int) *Program {
	return &Program{client: c, id: id, next: calls + 1}
}

// ID returns the program's id.
func (p *Program) ID() string { return p.id }

// View returns the program's state, with its messages if history is set.
func (p *Program) View(ctx context.Context, history bool) (View, error) {
	var v View
	path := "/v1/programs/" + url.PathEscape(p.id) + "?history=" + strconv.FormatBool(history)
	return v, p.client.requestJSON(ctx, retryableRequest{method: http.MethodGet, path: path}, &v)
}

// End ends the program.
func (p *Program) End(ctx context.Context) error {
	var v View
	return p.client.requestJSON(ctx, retryableRequest{method: http.MethodDelete, path: "/v1/programs/" + url.PathEscape(p.id)}, &v)
}

// nextNumber returns the number of the next call.
func (p *Program) nextNumber() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.next
}

// advance moves on to the next call number once a call has an outcome.
func (p *Program) advance(err error) {
	if err != nil && classifier.From(err).Code != classifier.OutcomeUnknown {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
}

func (p *Program) header(number int) map[string]string {
	return map[string]string{
		"Pimentorail-Program": p.id,
		"Pimentorail-Call":    strconv.Itoa(number),
		"Idempotency-Key":     p.id + "/" + strconv.Itoa(number),
	}
}

// Call sends a body to a plain service and returns its response. A fault with the code
// OutcomeUnknown means that the call may have run: read its result with Outcome later and do
// not call again.
func (p *Program) Call(ctx context.Context, target string, body []byte) ([]byte, error) {
	number := p.nextNumber()
	q := retryableRequest{method: http.MethodPost, path: "/v1/services/" + url.PathEscape(target), header: p.header(number), body: body}
	var response []byte
	err := p.client.doWithRetries(ctx, q, readAll(&response))
	p.advance(err)
	return response, err
}

// CallNumber is like Call but returns the number of the call instead of the response.
func (p *Program) CallNumber(ctx context.Context, target string, body []byte) (int, error) {
	number := p.nextNumber()
	_, err := p.Call(ctx, target, body)
	return number, err
}

// Outcome returns the recorded response of an earlier call.
func (p *Program) Outcome(ctx context.Context, number int) ([]byte, error) {
	path := "/v1/programs/" + url.PathEscape(p.id) + "/calls/" + strconv.Itoa(number)
	var response []byte
	return response, p.client.doWithRetries(ctx, retryableRequest{method: http.MethodGet, path: path}, readAll(&response))
}

func readAll(out *[]byte) func(*http.Response) error {
	return func(resp *http.Response) error {
		data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
		if err != nil {
			return classifier.New(classifier.Doubt, classifier.RanUnknown, "%v", err)
		}
		*out = data
		return nil
	}
}
