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

// Ask sends messages to a model and returns its answer. The messages are either only the new
// ones or the complete conversation, because the service stores the history. If sink is set,
// it receives each piece of the answer. If the stream breaks, the call is repeated and sink
// receives only the missing rest, or a Piece with Restart set if the answer differs.
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
	number := p.nextNumber()
	q := retryableRequest{method: http.MethodPost, path: "/v1/chat/completions", header: p.header(number), body: body}
	a := &streamedAnswer{sink: sink}
	err = p.client.doWithRetries(ctx, q, a.read)
	p.advance(err)
	return a.received.String(), err
}

// Piece is a part of a streamed answer.
type Piece struct {
	Text string
	// Restart is set if the answer starts again from the beginning. Earlier pieces must be
	// discarded.
	Restart bool
}

// streamedAnswer assembles a streamed answer, which may take several attempts.
type streamedAnswer struct {
	sink func(Piece)
	// received is the text received in the current attempt.
	received strings.Builder
	// delivered is the text that the sink has received.
	delivered strings.Builder
}

// event holds the fields of a stream event that the client reads.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// read handles events up to the end marker. The outcome of a stream without one is in doubt.
func (a *streamedAnswer) read(resp *http.Response) error {
	a.received.Reset()
	for ev, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return classifier.New(classifier.Doubt, classifier.RanUnknown, "%v", err)
		}
		if ev.Data == "[DONE]" {
			return nil
		}
		if err := a.handleEvent(ev.Data); err != nil {
			return err
		}
	}
	return classifier.New(classifier.Doubt, classifier.RanUnknown, "the stream ended without an end marker")
}

func (a *streamedAnswer) handleEvent(data string) error {
	var e event
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return classifier.New(classifier.Doubt, classifier.RanUnknown, "decode event: %v", err)
	}
	if len(e.Error) > 0 {
		return parseFault([]byte(data), http.StatusOK)
	}
	for _, c := range e.Choices {
		a.appendText(c.Delta.Content)
	}
	return nil
}

// appendText delivers the text that the sink has not received yet. An answer that differs
// from that of an earlier attempt is delivered from its beginning.
func (a *streamedAnswer) appendText(text string) {
	a.received.WriteString(text)
	received, delivered := a.received.String(), a.delivered.String()
	if strings.HasPrefix(delivered, received) {
		return
	}
	piece := Piece{Text: strings.TrimPrefix(received, delivered)}
	if !strings.HasPrefix(received, delivered) {
		piece = Piece{Text: received, Restart: true}
		a.delivered.Reset()
	}
	a.delivered.WriteString(piece.Text)
	if a.sink != nil {
		a.sink(piece)
	}
}
