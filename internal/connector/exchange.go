package connector

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	// maxInlineBody is the size in bytes up to which a body is written before the response
	// is read. Larger bodies are written while the response is read.
	maxInlineBody = 8 << 10
	// maxSkippedResponses limits the informational responses and the responses to other
	// requests that are read for one exchange.
	maxSkippedResponses = 4
	// lateWriteTimeout is how long the rest of a request may be written after its response has ended
	// with the connection. A replica may read on after it has closed its side.
	lateWriteTimeout = time.Second
	// maxSkippedBytes limits the body of a skipped response.
	maxSkippedBytes = 1 << 20
)

// pastDeadline makes all pending reads and writes of a connection fail.
var pastDeadline = time.Unix(1, 0)

// Exchange is a request whose response head has been received.
type Exchange struct {
	Response *http.Response

	connector     *Connector
	instance      string
	limit         int
	conn          *conn
	stopInterrupt func() bool
	// written receives the result of writing the request.
	written chan error
	// isWritten is set once the result was received, and writeErr is the result.
	isWritten bool
	writeErr  error
	complete  bool
	closed    bool
}

// Do sends a request and returns once the head of its response has been read. Errors are
// of type *Error. If the context ends, the exchange is interrupted. The caller must close
// the exchange.
func (c *Connector) Do(ctx context.Context, q *Call) (*Exchange, error) {
	x, err := c.get(ctx, q)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	if x, err = c.identifyProcess(ctx, q, x); err != nil {
		c.failed.Add(1)
		return nil, &Error{Cause: err}
	}
	e := c.newExchange(ctx, q, x, q.Deadline)
	received := false
	defer func() {
		// Also if a function of the call panics.
		if !received {
			e.Close()
		}
	}()
	if err := ctx.Err(); err != nil {
		return nil, &Error{Cause: err}
	}
	x.sent.add(hashID(q.ID))
	sent, err := e.send(q)
	if err == nil {
		stopCheck := e.checkIfSilent(q)
		err = e.receive(q)
		stopCheck()
	}
	if err != nil {
		c.failed.Add(1)
		_ = e.observe(err)
		return nil, &Error{Sent: sent, Cause: err}
	}
	received = true
	return e, nil
}

// newExchange returns an exchange on a connection, without its request.
func (c *Connector) newExchange(ctx context.Context, q *Call, x *conn, deadline time.Time) *Exchange {
	_ = x.SetDeadline(deadline)
	e := &Exchange{connector: c, instance: q.Instance, limit: q.Limit, conn: x, written: make(chan error, 1)}
	e.stopInterrupt = context.AfterFunc(ctx, e.interrupt)
	return e
}

// OpenedAt returns a time at which the connection was open already.
func (e *Exchange) OpenedAt() time.Time { return e.conn.openedAt }

// Via returns the name of the peer that the connection leads through, and what the peer calls
// it; both are empty for a direct connection.
func (e *Exchange) Via() (peer, name string) {
	if v, ok := e.conn.Conn.(interface{ Via() (peer, name string) }); ok {
		return v.Via()
	}
	return "", ""
}

// checkIfSilent checks the link to the replica if it stays silent, until the returned function
// is called.
func (e *Exchange) checkIfSilent(q *Call) (stop func()) {
	if q.Detour == nil || e.conn.detoured {
		return func() {}
	}
	timer := time.AfterFunc(silenceBeforeCheck, (&linkCheck{connector: e.connector, call: q}).run)
	return func() { timer.Stop() }
}

func (e *Exchange) interrupt() { _ = e.conn.SetDeadline(pastDeadline) }

// send writes the request. A large body is written concurrently with reading the
// response, because a replica may respond before it has read the body.
func (e *Exchange) send(q *Call) (sent bool, err error) {
	head := appendHead(make([]byte, 0, 1024), q)
	if q.size() <= maxInlineBody {
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
	w := &bodyWriter{exchange: e, body: q.Body}
	go w.run()
	return true, nil
}

// bodyWriter writes the body of one request.
type bodyWriter struct {
	exchange *Exchange
	body     [][]byte
}

func (w *bodyWriter) run() {
	w.exchange.written <- supervisor.Do("connector: write of a body", w.write)
}

func (w *bodyWriter) write() error {
	for _, b := range w.body {
		if _, err := w.exchange.conn.Write(b); err != nil {
			return err
		}
	}
	return nil
}

// receive reads the head of the response. It skips informational responses and responses
// to other requests.
func (e *Exchange) receive(q *Call) error {
	request := &http.Request{Method: q.Method}
	for range maxSkippedResponses {
		e.conn.beginHead(q.HoldHead)
		resp, err := http.ReadResponse(e.conn.reader, request)
		e.conn.endHead()
		if err == nil {
			err = checkHead(resp)
		}
		if err != nil {
			return errors.Wrap(err, "read response")
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if q.Matches == nil || q.Matches(resp) {
			e.Response = resp
			return nil
		}
		e.connector.foreign.Add(1)
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
		if err != nil || n == maxSkippedBytes || resp.Close {
			return errors.Errorf("received a response to another request, with status %d", resp.StatusCode)
		}
	}
	return errors.New("too many responses to other requests")
}

// Read reads the body of the response. It returns io.EOF only after the complete body.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.Response.Body.Read(p)
	if err == io.EOF && e.endsWithConnection() {
		err = e.checkWritten()
	}
	if err == io.EOF {
		e.complete = true
		return n, err
	}
	return n, e.observe(err)
}

// endsWithConnection reports whether only the end of the connection ends the response.
func (e *Exchange) endsWithConnection() bool {
	r := e.Response
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// checkWritten returns io.EOF if the end of the connection is that of the response. A reset fails one
// call of the connection only: if it meets the write of the request, the read that follows sees
// an end like that of a complete response.
func (e *Exchange) checkWritten() error {
	if !e.isWritten {
		timer := time.NewTimer(lateWriteTimeout)
		defer timer.Stop()
		select {
		case e.writeErr = <-e.written:
			e.isWritten = true
		case <-timer.C:
			return errors.Wrap(io.ErrUnexpectedEOF, "the replica closed the connection before it had read the request")
		}
	}
	if e.writeErr != nil {
		return errors.Wrapf(io.ErrUnexpectedEOF, "the replica reset the connection while the request was written: %v", e.writeErr)
	}
	return io.EOF
}

// Discard reads and drops the rest of the body, so that the connection can be reused. It
// gives up after a number of bytes or a time, since the body may have no end.
func (e *Exchange) Discard(maxBytes int64, timeout time.Duration) error {
	_ = e.conn.SetReadDeadline(time.Now().Add(timeout))
	n, err := io.Copy(io.Discard, io.LimitReader(e, maxBytes))
	if err == nil && n == maxBytes {
		err = errors.Errorf("body exceeds %d bytes", maxBytes)
	}
	return err
}

// Close ends the exchange. Its connection is reused only if the exchange is complete.
func (e *Exchange) Close() {
	if e.closed {
		return
	}
	e.closed = true
	e.connector.put(e.instance, e.conn, e.limit, e.finish())
}

// finish ends the exchange, and reports whether its connection can be used again.
func (e *Exchange) finish() bool {
	uninterrupted := e.stopInterrupt()
	reusable := uninterrupted && e.complete && !e.Response.Close && e.conn.reader.Buffered() == 0 && e.fullySent()
	if reusable {
		e.conn.idleTimeout, e.conn.idleNamed = keepAliveTimeout(e.Response.Header.Get("Keep-Alive"))
		reusable = e.conn.idleTimeout > 0
	}
	return reusable
}

// fullySent reports whether the whole request has been written.
func (e *Exchange) fullySent() bool {
	if !e.isWritten {
		select {
		case e.writeErr = <-e.written:
			e.isWritten = true
		default:
			return false
		}
	}
	return e.writeErr == nil
}

// keepAliveTimeout returns the idle timeout of a connection according to the Keep-Alive
// header of its last response, and whether that names one.
func keepAliveTimeout(header string) (timeout time.Duration, named bool) {
	for _, f := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(f), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return time.Duration(s)*time.Second - idleMargin, true
		}
	}
	return defaultIdleTimeout, false
}

// appendHead appends the request line and the header to b.
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
