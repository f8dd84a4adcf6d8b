package dispatcher

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"
)

// lateWriteTimeout is how long the rest of a call may be written after its response has ended with
// the connection.
const lateWriteTimeout = time.Second

// callWrite is the write of a call's request.
type callWrite struct{ done chan error }

// trace returns a context in which the write of one request is observed.
func (w *callWrite) trace(ctx context.Context) context.Context {
	w.done = make(chan error, 1)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: w.wrote})
}

func (w *callWrite) wrote(i httptrace.WroteRequestInfo) {
	select {
	case w.done <- i.Err:
	default:
	}
}

// check returns an error if the response that was read to its end may have been cut by a reset. A reset
// fails one call of the connection only: if it meets the write of the request, the read that follows
// sees an end like that of a complete response without a length.
func (w *callWrite) check(r *http.Response) error {
	if r.ContentLength >= 0 || len(r.TransferEncoding) > 0 {
		return nil
	}
	select {
	case err := <-w.done:
		return errors.Wrap(err, "the connection ended while the request was written")
	case <-time.After(lateWriteTimeout):
		return errors.New("the connection ended before the request was written")
	}
}
