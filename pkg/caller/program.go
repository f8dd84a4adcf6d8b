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

// Message is a message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ProgramOptions describes a new program.
type ProgramOptions struct {
	// ID is the program's id; empty lets the service choose one.
	ID string
	// Parent is the id of the parent of a sub-agent.
	Parent string
	// Budget bounds the program's tokens; a sub-agent may leave it zero.
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

// Program is a program whose calls run in order. One call at a time may be made.
type Program struct {
	client *Client
	id     string
	mu     sync.Mutex
	next   int
}

// Create creates a program; repeating it with the same id and budget is harmless.
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
	if err := c.getJSON(ctx, request{method: http.MethodPost, path: "/v1/programs", body: body}, &v); err != nil {
		return nil, err
	}
	return c.Resume(v.ID, v.Calls), nil
}

// Resume returns a program that has made a number of calls.
func (c *Client) Resume(id string, calls int) *Program {
	return &Program{client: c, id: id, next: calls + 1}
}

// ID returns the program's id.
func (p *Program) ID() string { return p.id }

// View reads the program's state, with its history if wanted.
func (p *Program) View(ctx context.Context, history bool) (View, error) {
	var v View
	path := "/v1/programs/" + url.PathEscape(p.id) + "?history=" + strconv.FormatBool(history)
	return v, p.client.getJSON(ctx, request{method: http.MethodGet, path: path}, &v)
}

// End ends the program.
func (p *Program) End(ctx context.Context) error {
	var v View
	return p.client.getJSON(ctx, request{method: http.MethodDelete, path: "/v1/programs/" + url.PathEscape(p.id)}, &v)
}

// take returns the number of the next call.
func (p *Program) take() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.next
}

// settle moves on to the next call once a call has an outcome.
func (p *Program) settle(err error) {
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

// Call sends a body to a plain service. A fault with the code OutcomeUnknown
// means that it may have run: ask with Outcome later, and do not call again.
func (p *Program) Call(ctx context.Context, target string, body []byte) ([]byte, error) {
	number := p.take()
	q := request{method: http.MethodPost, path: "/v1/services/" + url.PathEscape(target), header: p.header(number), body: body}
	var answer []byte
	err := p.client.do(ctx, q, readAll(&answer))
	p.settle(err)
	return answer, err
}

// CallNumber is Call for callers that want the call's number in place of its answer.
func (p *Program) CallNumber(ctx context.Context, target string, body []byte) (int, error) {
	number := p.take()
	_, err := p.Call(ctx, target, body)
	return number, err
}

// Outcome returns the recorded answer of an earlier call.
func (p *Program) Outcome(ctx context.Context, number int) ([]byte, error) {
	path := "/v1/programs/" + url.PathEscape(p.id) + "/calls/" + strconv.Itoa(number)
	var answer []byte
	return answer, p.client.do(ctx, request{method: http.MethodGet, path: path}, readAll(&answer))
}

func readAll(into *[]byte) func(*http.Response) error {
	return func(resp *http.Response) error {
		data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		if err != nil {
			return classifier.New(classifier.Doubt, classifier.RanUnknown, "%v", err)
		}
		*into = data
		return nil
	}
}
