package emulator

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const defaultAnswerTokens = 16

var wantedTokens = regexp.MustCompile(`tokens=(\d+)`)

// stream is one request inside an engine.
type stream struct {
	id        string
	program   string
	priority  int
	arrival   int
	nodes     []prefixNode
	seed      uint64
	want      int
	usage     Usage
	tokens    []string
	finish    string
	changed   chan struct{}
	cancelled bool
}

func newStream(id, program string, priority int, req ChatRequest) *stream {
	s := &stream{id: id, program: program, priority: priority, changed: make(chan struct{})}
	s.nodes = prefixes(req.Messages)
	s.want = defaultAnswerTokens
	if n := len(req.Messages); n > 0 {
		last := req.Messages[n-1].Content
		s.seed = xxhash.Sum64String(last)
		if m := wantedTokens.FindStringSubmatch(last); m != nil {
			s.want, _ = strconv.Atoi(m[1])
		}
	}
	if req.MaxTokens > 0 {
		s.want = min(s.want, req.MaxTokens)
	}
	return s
}

// AnswerTo returns the whole answer that an engine gives to a last message.
func AnswerTo(last string, tokens int) string {
	seed := xxhash.Sum64String(last)
	text := ""
	for i := range tokens {
		text += word(seed, i)
	}
	return text
}

func word(seed uint64, i int) string { return fmt.Sprintf("%04x-%d ", seed&0xffff, i) }

// answerNode returns the node of the whole answer, which stays in the cache with its prompt.
func (s *stream) answerNode() prefixNode {
	chain := uint64(0)
	if n := len(s.nodes); n > 0 {
		chain = s.nodes[n-1].hash
	}
	return extend(chain, Message{Role: "assistant", Content: strings.Join(s.tokens, "")})
}

func (s *stream) done() bool { return s.finish != "" }

func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// decode emits one token.
func (s *stream) decode() {
	s.tokens = append(s.tokens, word(s.seed, len(s.tokens)))
	s.usage.CompletionTokens = len(s.tokens)
	if len(s.tokens) >= s.want {
		s.finish = "stop"
	}
	s.wake()
}

func (s *stream) cancel() {
	if !s.done() {
		s.cancelled = true
		s.finish = "cancelled"
		s.wake()
	}
}

// after returns the chunks from number n on, and a channel that closes when there is more.
func (s *stream) after(n int) ([]Chunk, <-chan struct{}) {
	var chunks []Chunk
	for i := n; i < len(s.tokens); i++ {
		chunks = append(chunks, Chunk{ID: s.id, Number: i, Content: s.tokens[i]})
	}
	if s.done() {
		u := s.usage
		chunks = append(chunks, Chunk{ID: s.id, Number: len(s.tokens), Finish: s.finish, Usage: &u})
	}
	return chunks, s.changed
}
