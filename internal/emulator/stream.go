package emulator

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const defaultAnswerTokens = 16

var answerTokensPattern = regexp.MustCompile(`tokens=(\d+)`)

// stream is a request in an engine and the tokens generated for it.
type stream struct {
	id           string
	program      string
	priority     int
	arrival      int
	nodes        []prefixNode
	seed         uint64
	answerTokens int
	usage        Usage
	tokens       []string
	finish       string
	updated      chan struct{}
	cancelled    bool
}

func newStream(id, program string, priority int, req ChatRequest) *stream {
	s := &stream{id: id, program: program, priority: priority, updated: make(chan struct{})}
	s.nodes = prefixes(req.Messages)
	s.answerTokens = defaultAnswerTokens
	if n := len(req.Messages); n > 0 {
		last := req.Messages[n-1].Content
		s.seed = xxhash.Sum64String(last)
		if m := answerTokensPattern.FindStringSubmatch(last); m != nil {
			s.answerTokens, _ = strconv.Atoi(m[1])
		}
	}
	if req.MaxTokens > 0 {
		s.answerTokens = min(s.answerTokens, req.MaxTokens)
	}
	return s
}

// AnswerTo returns the complete answer of an engine to a prompt that ends with the
// message last.
func AnswerTo(last string, tokens int) string {
	seed := xxhash.Sum64String(last)
	text := ""
	for i := range tokens {
		text += tokenText(seed, i)
	}
	return text
}

func tokenText(seed uint64, i int) string { return fmt.Sprintf("%04x-%d ", seed&0xffff, i) }

// answerNode returns the node of the complete answer, which is cached after its prompt.
func (s *stream) answerNode() prefixNode {
	chain := uint64(0)
	if n := len(s.nodes); n > 0 {
		chain = s.nodes[n-1].hash
	}
	return appendMessage(chain, Message{Role: "assistant", Content: strings.Join(s.tokens, "")})
}

func (s *stream) done() bool { return s.finish != "" }

func (s *stream) notify() {
	close(s.updated)
	s.updated = make(chan struct{})
}

// decode emits one token.
func (s *stream) decode() {
	s.tokens = append(s.tokens, tokenText(s.seed, len(s.tokens)))
	s.usage.CompletionTokens = len(s.tokens)
	if len(s.tokens) >= s.answerTokens {
		s.finish = "stop"
	}
	s.notify()
}

func (s *stream) cancel() {
	if !s.done() {
		s.cancelled = true
		s.finish = "cancelled"
		s.notify()
	}
}

// chunksFrom returns the chunks from number n on, and a channel that is closed when more
// are available.
func (s *stream) chunksFrom(n int) ([]Chunk, <-chan struct{}) {
	var chunks []Chunk
	for i := n; i < len(s.tokens); i++ {
		chunks = append(chunks, Chunk{ID: s.id, Number: i, Content: s.tokens[i]})
	}
	if s.done() {
		u := s.usage
		chunks = append(chunks, Chunk{ID: s.id, Number: len(s.tokens), Finish: s.finish, Usage: &u})
	}
	return chunks, s.updated
}
