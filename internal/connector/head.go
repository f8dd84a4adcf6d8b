package connector

import (
	"net/http"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// statusLine matches the beginning of the first line of a response.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// minStatus and maxStatus bound the status codes that there are (RFC 9110, section 15).
const minStatus, maxStatus = 100, 599

// errJoinedHeads is returned for a head that holds the first line of another response.
var errJoinedHeads = errors.New("response head holds the beginning of another response")

// checkHead returns an error for a head whose status is none, or that consists of two. A faulty replica may write a part of
// an extra response, and the response to the next request continues its last line: the head then
// has the status of the one and the id of the other.
func checkHead(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return errors.Errorf("response has status %q, which is none", r.Status)
	}
	if holdsStatusLine(r.Status) {
		return errJoinedHeads
	}
	for _, values := range r.Header {
		for _, v := range values {
			if holdsStatusLine(v) {
				return errJoinedHeads
			}
		}
	}
	return nil
}

func holdsStatusLine(s string) bool {
	return strings.Contains(s, "HTTP/1.") && statusLine.MatchString(s)
}

// IsStream reports whether a response is a stream of events.
func IsStream(r *http.Response) bool {
	kind, _, _ := strings.Cut(r.Header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}
