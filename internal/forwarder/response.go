package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/connector"
	"pimentorail.example/pimentorail/internal/selector"
)

// forwardBody forwards a non-streaming response. A response of up to maxBufferedResponse
// bytes is read completely before its first byte is forwarded, so that the request can
// still be retried if the read fails. Less is read if the memory does not suffice.
func (f *Forwarder) forwardBody(ctx context.Context, w http.ResponseWriter, j *job, e *connector.Exchange, l *responseLease) result {
	body := &leasedBuffer{lease: l}
	complete, err := readStart(e, body)
	if err != nil {
		return f.classifyError(ctx, j, errors.Wrap(err, "read body"))
	}
	j.firstAfter = time.Since(j.request.Arrived)
	f.writeHead(w, j, e.Response)
	if _, err := w.Write(body.bytes); err != nil {
		j.cause = errors.Wrap(err, "write to client")
		return canceled
	}
	if complete {
		return answered
	}
	body.clear(0)
	// The method ReadFrom of the writer would take a larger buffer, which is not counted.
	if _, err := io.CopyBuffer(struct{ io.Writer }{w}, e, make([]byte, copyBufferBytes)); err != nil {
		j.cause = errors.Wrap(err, "forward body")
		return truncated
	}
	return answered
}

// readStart reads a body, and returns false if there is more of it than may be buffered.
func readStart(r io.Reader, b *leasedBuffer) (complete bool, err error) {
	for len(b.bytes) <= maxBufferedResponse {
		if b.grow(1) != nil {
			return false, nil
		}
		free := b.bytes[len(b.bytes):min(cap(b.bytes), maxBufferedResponse+1)]
		n, err := r.Read(free)
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// writeHead sends the status and header of a replica's response to the client.
func (f *Forwarder) writeHead(w http.ResponseWriter, j *job, r *http.Response) {
	h := w.Header()
	for name, values := range f.codec.ClientHeader(r.Header) {
		h[name] = values
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	f.closeWhenStopping(h)
	j.keepToEnd()
	j.responseStarted = true
	w.WriteHeader(r.StatusCode)
}

// forwardStream forwards events as they arrive and ends the client's stream only after
// the turn is persisted.
func (f *Forwarder) forwardStream(ctx context.Context, w http.ResponseWriter, j *job, c *selector.Choice, e *connector.Exchange, l *responseLease) result {
	// With a Content-Length the client would see the end of the response before the turn is
	// persisted; chunked encoding marks the end explicitly.
	e.Response.Header.Del("Content-Length")
	flusher := http.NewResponseController(w)
	s := newEventReader(e, j.eventOrder(), l)
	for {
		ev, err := s.next()
		if err == io.EOF {
			break
		}
		if err != nil {
			res := f.classifyError(ctx, j, errors.Wrap(err, "read stream"))
			if res == ambiguous && j.responseStarted {
				res = truncated
			}
			return res
		}
		if !j.responseStarted {
			j.firstAfter = time.Since(j.request.Arrived)
			f.recordOrigin(j, c, e.OpenedAt())
			f.writeHead(w, j, e.Response)
		}
		if err := j.turn.addEvent(ev, j.service.EventTokens, l); err != nil {
			j.cause = errors.Wrap(err, "add event to turn")
			return truncated
		}
		if j.turn.isTooLarge() {
			j.cause = errors.Wrap(archivist.ErrTooLarge, "add event to turn")
			return truncated
		}
		if _, err = w.Write(ev.raw); err == nil {
			err = flusher.Flush()
		}
		if err != nil {
			j.cause = errors.Wrap(err, "write to client")
			return canceled
		}
	}
	if !j.responseStarted {
		f.writeHead(w, j, e.Response)
	}
	if err := f.persist(ctx, j.turn); err != nil {
		j.cause = errors.Wrap(err, "persist turn")
		return truncated
	}
	return answered
}
