package forwarder

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxEventBytes is the maximum size of one event of a stream.
	maxEventBytes = 1 << 20
	// eventBufferBytes is the size up to which the buffer for events is kept between events.
	eventBufferBytes = 8 << 10
)

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
	// hasData is set if the event has a data line; only such events carry tokens.
	hasData bool
}

// fieldOf returns the name and the value of a line without its end.
func fieldOf(line []byte) (name string, value []byte) {
	before, value, _ := bytes.Cut(bytes.TrimPrefix(line, byteOrderMark), []byte(":"))
	return string(before), bytes.TrimPrefix(value, []byte(" "))
}

// dataOf returns the value of a line without its end, and false if it is not a data line.
func dataOf(line []byte) ([]byte, bool) {
	name, value := fieldOf(line)
	return value, name == "data"
}

// eventReader splits a stream into events.
type eventReader struct {
	reader *bufio.Reader
	raw    leasedBuffer
	order  eventOrder
}

// newEventReader returns a reader of a stream whose events follow the given order. The lease holds
// the event that is read.
func newEventReader(r io.Reader, o eventOrder, l *responseLease) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 4<<10), order: o, raw: leasedBuffer{lease: l}}
}

// next returns the next event, which is valid until the following call. It returns
// io.EOF at the end of a complete stream.
func (s *eventReader) next() (event, error) {
	s.raw.clear(eventBufferBytes)
	hasData := false
	for {
		line, err := s.line()
		if err != nil {
			if err == io.EOF && len(bytes.TrimSpace(s.raw.bytes)) > 0 {
				err = errPartialEvent
			}
			return event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if len(s.raw.bytes) > 2 {
				return event{raw: s.raw.bytes, hasData: hasData}, nil
			}
			continue
		}
		name, value := fieldOf(line)
		if !isFieldName(name) {
			return event{}, errNoField
		}
		if name == "id" {
			if err := s.order.add(value); err != nil {
				return event{}, err
			}
		}
		hasData = hasData || name == "data"
	}
}

// isFieldName reports whether a name consists of letters, digits, hyphens and underscores. It is
// empty for a comment. Text of errors has spaces, slashes, quotes or brackets before a colon.
func isFieldName(name string) bool {
	for _, b := range []byte(name) {
		letter := 'a' <= b|0x20 && b|0x20 <= 'z'
		if !letter && (b < '0' || b > '9') && b != '-' && b != '_' {
			return false
		}
	}
	return true
}

// line reads one line, appends it to the raw event and returns it.
func (s *eventReader) line() ([]byte, error) {
	start := len(s.raw.bytes)
	for {
		chunk, err := s.reader.ReadSlice('\n')
		if len(s.raw.bytes)+len(chunk) > maxEventBytes {
			return nil, errors.Errorf("event is longer than %d bytes", maxEventBytes)
		}
		if memoryErr := s.raw.append(chunk); memoryErr != nil {
			return nil, memoryErr
		}
		switch {
		case err == nil:
			return s.raw.bytes[start:], nil
		case err != bufio.ErrBufferFull:
			return nil, err
		}
	}
}
