package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"pimentorail.example/pimentorail/pkg/classifier"
)

const maxEventBytes = 1 << 20

// Ask asks a model. The messages are new ones, or the whole conversation; the
// service keeps the history. Each piece of the answer goes to sink, if it is
// set; after a broken stream the call is repeated and sink gets what is missing.
func (p *Program) Ask(ctx context.Context, model string, messages []Message, maxTokens int, sink func(Piece)) (string, error) {
	body, err := json.Marshal(struct {
		Model     string    `json:"model"`
		Messages  []Message `json:"messages"`
		MaxTokens int       `json:"max_tokens,omitempty"`
		Stream    bool      `json:"stream"`
	}{model, messages, maxTokens, true})
	if err != nil {
		return "", errors.Wrap(err, "encode request")
	}
	number := p.take()
	q := request{method: http.MethodPost, path: "/v1/chat/completions", header: p.header(number), body: body}
	a := &answer{sink: sink}
	err = p.client.do(ctx, q, a.read)
	p.settle(err)
	return a.text.String(), err
}

// Piece is a part of a streamed answer.
type Piece struct {
	Text string
	// Restart says that the answer begins anew and earlier pieces are void.
	Restart bool
}

// answer is a streamed answer, over several tries if need be.
type answer struct {
	sink func(Piece)
	// text is what this try has brought, given what the sink holds.
	text  strings.Builder
	given strings.Builder
}

// event is the part of a stream's event that is read.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// read takes events until the end marker; a stream without one is in doubt.
func (a *answer) read(resp *http.Response) error {
	a.text.Reset()
	for ev, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return classifier.New(classifier.Doubt, classifier.RanUnknown, "%v", err)
		}
		if ev.Data == "[DONE]" {
			return nil
		}
		if err := a.take(ev.Data); err != nil {
			return err
		}
	}
	return classifier.New(classifier.Doubt, classifier.RanUnknown, "the stream ends without its end marker")
}

func (a *answer) take(data string) error {
	var e event
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return classifier.New(classifier.Doubt, classifier.RanUnknown, "event: %v", err)
	}
	if len(e.Error) > 0 {
		return parseFault([]byte(data), http.StatusOK)
	}
	for _, c := range e.Choices {
		a.add(c.Delta.Content)
	}
	return nil
}

// add passes on what the sink does not hold yet; an answer that differs from an earlier try starts anew.
func (a *answer) add(text string) {
	a.text.WriteString(text)
	whole, given := a.text.String(), a.given.String()
	if strings.HasPrefix(given, whole) {
		return
	}
	piece := Piece{Text: strings.TrimPrefix(whole, given)}
	if !strings.HasPrefix(whole, given) {
		piece = Piece{Text: whole, Restart: true}
		a.given.Reset()
	}
	a.given.WriteString(piece.Text)
	if a.sink != nil {
		a.sink(piece)
	}
}
