package forwarder

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

// errPartialEvent is returned for a stream that ends in the middle of an event.
var errPartialEvent = errors.New("stream ends in the middle of an event")

// errNoField is returned for a line that belongs to no event, such as the head of another response.
var errNoField = errors.New("stream has a line that is no field of an event")

// byteOrderMark may precede the first line of a stream.
var byteOrderMark = []byte("\ufeff")

// event is one server-sent event.
type event struct {
	// raw is the event as received, including the empty line that ends it.
	raw []byte
	// data is the value of the event's data lines, joined by newlines.
	data []byte
	// hasData is set if the event has a data line; only such events carry tokens.
	hasData bool
}

// eventReader splits a stream into events.
type eventReader struct {
	reader *bufio.Reader
	raw    []byte
	data   []byte
	order  eventOrder
}

// newEventReader returns a reader of a stream whose events follow the given order.
func newEventReader(r io.Reader, o eventOrder) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 4<<10), order: o}
}

// next returns the next event, which is valid until the following call. It returns
// io.EOF at the end of a complete stream.
func (s *eventReader) next() (event, error) {
	s.raw, s.data = s.raw[:0], s.data[:0]
	hasData := false
	for {
		line, err := s.line()
		if err != nil {
			if err == io.EOF && len(bytes.TrimSpace(s.raw)) > 0 {
				err = errPartialEvent
			}
			return event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if len(s.raw) > 2 {
				return event{raw: s.raw, data: s.data, hasData: hasData}, nil
			}
			continue
		}
		name, value, _ := bytes.Cut(bytes.TrimPrefix(line, byteOrderMark), []byte(":"))
		if !isFieldName(name) {
			return event{}, errNoField
		}
		if string(name) == "id" {
			if err := s.order.add(value); err != nil {
				return event{}, err
			}
		}
		if string(name) != "data" {
			continue
		}
		if hasData {
			s.data = append(s.data, '\n')
		}
		s.data = append(s.data, bytes.TrimPrefix(value, []byte(" "))...)
		hasData = true
	}
}

// isFieldName reports whether a name consists of letters, digits, hyphens and underscores. It is
// empty for a comment. Text of errors has spaces, slashes, quotes or brackets before a colon.
func isFieldName(name []byte) bool {
	for _, b := range name {
		letter := 'a' <= b|0x20 && b|0x20 <= 'z'
		if !letter && (b < '0' || b > '9') && b != '-' && b != '_' {
			return false
		}
	}
	return true
}

// line reads one line, appends it to the raw event and returns it.
func (s *eventReader) line() ([]byte, error) {
	start := len(s.raw)
	for {
		chunk, err := s.reader.ReadSlice('\n')
		s.raw = append(s.raw, chunk...)
		switch {
		case len(s.raw) > maxEventBytes:
			return nil, errors.Errorf("event is longer than %d bytes", maxEventBytes)
		case err == nil:
			return s.raw[start:], nil
		case err != bufio.ErrBufferFull:
			return nil, err
		}
	}
}
