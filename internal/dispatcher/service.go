package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/pkg/classifier"
)

const maxResponseBytes = 8 << 20

// ServiceRequest is a call of a plain service.
type ServiceRequest struct {
	ID          string
	ContentType string
	Body        []byte
	// NotRunStatuses are the HTTP statuses by which the service reports that the call had
	// no effect.
	NotRunStatuses []int
	// Valid reports whether the dispatch is still permitted. It is checked right before the
	// first byte is sent.
	Valid func() bool
}

// minStatus and maxStatus bound the status codes that there are (RFC 9110, section 15).
const minStatus, maxStatus = 100, 599

// ServiceResult is the complete response of a plain service.
type ServiceResult struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service sends a service call once and never retries it. Errors are of type *Error.
func (d *Dispatcher) Service(ctx context.Context, address string, q ServiceRequest) (ServiceResult, error) {
	var written callWrite
	req, err := http.NewRequestWithContext(written.trace(ctx), http.MethodPost, "http://"+address+"/call", bytes.NewReader(q.Body))
	if err != nil {
		return ServiceResult{}, newError(classifier.TargetAway, classifier.RanNo, err)
	}
	// Without GetBody, net/http never resends the body on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", q.ContentType)
	req.Header.Set("Request-Id", q.ID)
	client, g := d.client, &guard{valid: q.Valid}
	if q.Valid != nil {
		client = g.client()
	}
	resp, err := client.Do(req)
	if g.expired.Load() {
		return ServiceResult{}, newError(classifier.TicketExpired, classifier.RanNo, errExpired)
	}
	if err != nil {
		return ServiceResult{}, serviceError(ctx, err)
	}
	defer resp.Body.Close()
	if slices.Contains(q.NotRunStatuses, resp.StatusCode) {
		return ServiceResult{}, newError(classifier.TargetRefused, classifier.RanNo, errors.Errorf("service returned status %d", resp.StatusCode))
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return ServiceResult{}, newError(classifier.TargetBroken, classifier.RanUnknown, errors.Errorf("response has status %q, which is none", resp.Status))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(body) <= maxResponseBytes {
		err = written.check(resp)
	}
	if err != nil {
		return ServiceResult{}, serviceError(ctx, err)
	}
	if len(body) > maxResponseBytes {
		return ServiceResult{}, newError(classifier.TargetBroken, classifier.RanYes, errors.Errorf("response is longer than %d bytes", maxResponseBytes))
	}
	return ServiceResult{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

func serviceError(ctx context.Context, err error) error {
	if isDialError(err) {
		return newError(classifier.TargetAway, classifier.RanNo, err)
	}
	if ctx.Err() != nil {
		return newError(classifier.TargetTimeout, classifier.RanUnknown, err)
	}
	return newError(classifier.TargetBroken, classifier.RanUnknown, err)
}

// isDialError reports whether err occurred before a connection was established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
