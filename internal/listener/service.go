package listener

import (
	"net/http"
	"strconv"

	"goji.io/pat"

	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/sequencer"
)

const maxServiceBytes = 4 << 20

// serveService serves POST /v1/services/:target.
func (l *Listener) serveService(w http.ResponseWriter, r *http.Request) {
	account, body, ok := l.readRequest(w, r, maxServiceBytes)
	if !ok {
		return
	}
	name := pat.Param(r, "target")
	call, f := l.newCall(r, account, name, declarer.Service)
	if f != nil {
		writeFault(w, f)
		return
	}
	call.Body = body
	call.ContentType = r.Header.Get("Content-Type")
	call.Hash = hashRequest("service", name, body)
	out, f := l.options.Conductor.Run(r.Context(), call)
	if f != nil {
		writeFault(w, f)
		return
	}
	writeOutcome(w, out)
}

// writeOutcome responds with a call's recorded outcome.
func writeOutcome(w http.ResponseWriter, out *sequencer.Outcome) {
	if out.Fault != nil {
		writeFault(w, out.Fault)
		return
	}
	h := w.Header()
	if out.ContentType != "" {
		h.Set("Content-Type", out.ContentType)
	}
	if out.Number > 0 {
		h.Set(HeaderCall, strconv.Itoa(out.Number))
	}
	h.Set(HeaderRan, string(out.Ran))
	w.WriteHeader(out.Status)
	_, _ = w.Write(out.Content)
}
