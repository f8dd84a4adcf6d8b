package forwarder

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// errPartial says that a stream ended within an event.
var errPartial = errors.New("stream ends within an event")

// event is one event of a stream.
type event struct {
	// raw is the event as it came, with the empty line that ends it.
	raw []byte
	// data is the event's data without line ends between its lines.
	data []byte
	// counts says that the event has data, and so tokens.
	counts bool
}

// events reads a stream event by event.
type events struct {
	reader *bufio.Reader
	raw    []byte
	data   []byte
}

func newEvents(r io.Reader) *events { return &events{reader: bufio.NewReaderSize(r, 4<<10)} }

// next returns the next event, valid until the call after; io.EOF is a whole stream's end.
func (s *events) next() (event, error) {
	s.raw, s.data = s.raw[:0], s.data[:0]
	counts := false
	for {
		line, err := s.line()
		if err != nil {
			if err == io.EOF && len(bytes.TrimSpace(s.raw)) > 0 {
				err = errPartial
			}
			return event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if len(s.raw) > 2 {
				return event{raw: s.raw, data: s.data, counts: counts}, nil
			}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if string(name) != "data" {
			continue
		}
		if counts {
			s.data = append(s.data, '\n')
		}
		s.data = append(s.data, bytes.TrimPrefix(value, []byte(" "))...)
		counts = true
	}
}

// line reads one line and appends it to the raw event.
func (s *events) line() ([]byte, error) {
	start := len(s.raw)
	for {
		piece, err := s.reader.ReadSlice('\n')
		s.raw = append(s.raw, piece...)
		switch {
		case err == nil:
			return s.raw[start:], nil
		case err != bufio.ErrBufferFull:
			return nil, err
		case len(s.raw) > maxEvent:
			return nil, errors.Errorf("event is longer than %d bytes", maxEvent)
		}
	}
}
