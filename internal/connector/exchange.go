package connector

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// inlineBody is the largest body that is written before the answer is read.
	inlineBody = 8 << 10
	// maxSkipped bounds the answers of others on one connection.
	maxSkipped = 4
	// maxSkippedBytes bounds the body of an answer that is skipped.
	maxSkippedBytes = 1 << 20
)

// past is a deadline that makes all waits on a connection end.
var past = time.Unix(1, 0)

// Exchange is a request whose answer has begun.
type Exchange struct {
	Response *http.Response

	connector *Connector
	instance  string
	limit     int
	conn      *conn
	stop      func() bool
	// written gets the outcome of writing the request.
	written chan error
	whole   bool
	closed  bool
}

// Do sends a call and returns its answer's head; errors are of type *Error.
// The context's end breaks the exchange off. The exchange must be closed.
func (c *Connector) Do(ctx context.Context, q *Call) (*Exchange, error) {
	x, err := c.get(ctx, q)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	_ = x.SetDeadline(q.Deadline)
	e := &Exchange{connector: c, instance: q.Instance, limit: q.Limit, conn: x, written: make(chan error, 1)}
	e.stop = context.AfterFunc(ctx, e.interrupt)
	if err := ctx.Err(); err != nil {
		e.Close()
		return nil, &Error{Cause: err}
	}
	sent, err := e.send(q)
	if err == nil {
		err = e.receive(q)
	}
	if err != nil {
		c.failed.Add(1)
		e.Close()
		return nil, &Error{Sent: sent, Cause: err}
	}
	return e, nil
}

func (e *Exchange) interrupt() { _ = e.conn.SetDeadline(past) }

// send writes the request; a large body is written beside the answer's reading,
// since a replica may answer before it has read it.
func (e *Exchange) send(q *Call) (sent bool, err error) {
	head := appendHead(make([]byte, 0, 1024), q)
	if q.size() <= inlineBody {
		for _, b := range q.Body {
			head = append(head, b...)
		}
		n, err := e.conn.Write(head)
		e.written <- err
		return n > 0, err
	}
	n, err := e.conn.Write(head)
	if err != nil {
		e.written <- err
		return n > 0, err
	}
	w := &writer{exchange: e, body: q.Body}
	go w.run()
	return true, nil
}

// writer writes the body of one request.
type writer struct {
	exchange *Exchange
	body     [][]byte
}

func (w *writer) run() {
	for _, b := range w.body {
		if _, err := w.exchange.conn.Write(b); err != nil {
			w.exchange.written <- err
			return
		}
	}
	w.exchange.written <- nil
}

// receive reads the head of the answer, past informational answers and those of others.
func (e *Exchange) receive(q *Call) error {
	request := &http.Request{Method: q.Method}
	for range maxSkipped {
		resp, err := http.ReadResponse(e.conn.reader, request)
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if q.Mine == nil || q.Mine(resp) {
			e.Response = resp
			return nil
		}
		e.connector.foreign.Add(1)
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
		if err != nil || n == maxSkippedBytes || resp.Close {
			return errors.Errorf("answer to another request with status %d", resp.StatusCode)
		}
	}
	return errors.New("too many answers to other requests")
}

// Read reads the answer's body; io.EOF means that it is whole.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.Response.Body.Read(p)
	if err == io.EOF {
		e.whole = true
	}
	return n, err
}

// Close ends the exchange; the connection is kept only after a whole one.
func (e *Exchange) Close() {
	if e.closed {
		return
	}
	e.closed = true
	uninterrupted := e.stop()
	keep := uninterrupted && e.whole && !e.Response.Close && e.conn.reader.Buffered() == 0 && e.sentWhole()
	if keep {
		e.conn.idle = idleTime(e.Response.Header.Get("Keep-Alive"))
		keep = e.conn.idle > 0
	}
	e.connector.put(e.instance, e.conn, e.limit, keep)
}

// sentWhole reports whether the whole request was written by now.
func (e *Exchange) sentWhole() bool {
	select {
	case err := <-e.written:
		return err == nil
	default:
		return false
	}
}

// idleTime returns how long a connection may be idle by the Keep-Alive header.
func idleTime(header string) time.Duration {
	for _, f := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(f), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return defaultIdle
}

// appendHead appends the request line and the header.
func appendHead(b []byte, q *Call) []byte {
	b = append(b, q.Method...)
	b = append(b, ' ')
	b = append(b, q.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, q.Host...)
	b = append(b, "\r\n"...)
	for name, values := range q.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if n := q.size(); n > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(n), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}
