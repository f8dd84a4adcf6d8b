package listener

import (
	"encoding/json"
	"net/http"
	"strconv"

	"pimentorail.example/pimentorail/pkg/classifier"
)

// errorResponse is the body of a failed request, in the format that OpenAI clients expect.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string         `json:"message"`
	Type         string         `json:"type"`
	Code         string         `json:"code"`
	Ran          classifier.Ran `json:"ran"`
	RetryAfterMS int64          `json:"retry-after-ms,omitempty"`
}

func newErrorResponse(f *classifier.Fault) errorResponse {
	return errorResponse{errorDetail{
		Message: f.Message, Type: f.Code.String(), Code: strconv.Itoa(int(f.Code)), Ran: f.Ran, RetryAfterMS: f.RetryAfterMS,
	}}
}

// writeFault responds to a request with a fault. Unless the request certainly did not run, it
// asks the client not to retry.
func writeFault(w http.ResponseWriter, f *classifier.Fault) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRan, string(f.Ran))
	if s := f.RetrySeconds(); s > 0 {
		h.Set("Retry-After", strconv.Itoa(s))
		h.Set("Retry-After-Ms", strconv.FormatInt(f.RetryAfterMS, 10))
	}
	if f.Ran != classifier.RanNo {
		h.Set("X-Should-Retry", "false")
	}
	w.WriteHeader(f.Code.Status())
	_ = json.NewEncoder(w).Encode(newErrorResponse(f))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
