package listener

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/google/uuid"
	"goji.io/pat"

	"pimentorail.example/pimentorail/internal/sequencer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const maxProgramBytes = 64 << 10

// programRequest is the body of a request that creates a program.
type programRequest struct {
	ID     string `json:"id"`
	Parent string `json:"parent"`
	Budget int    `json:"budget"`
}

func newCompletionID() string { return "chatcmpl-" + uuid.NewString() }

// serveCreate serves POST /v1/programs.
func (l *Listener) serveCreate(w http.ResponseWriter, r *http.Request) {
	account, body, ok := l.readRequest(w, r, maxProgramBytes)
	if !ok {
		return
	}
	var q programRequest
	if err := json.Unmarshal(body, &q); err != nil {
		writeFault(w, classifier.New(classifier.BadRequest, classifier.RanNo, "body: %v", err))
		return
	}
	if q.Budget > account.ProgramBudget {
		writeFault(w, classifier.New(classifier.BadRequest, classifier.RanNo, "budget: the account allows at most %d tokens, not %d", account.ProgramBudget, q.Budget))
		return
	}
	if q.ID == "" {
		q.ID = uuid.NewString()
	}
	if q.Parent != "" {
		q.ID = q.Parent + "." + q.ID
	}
	name := sequencer.Name{Account: account.Name, ID: q.ID}
	v, f := l.options.Conductor.Create(r.Context(), sequencer.CreateRequest{Name: name, Budget: q.Budget})
	l.writeView(w, http.StatusCreated, v, f)
}

func (l *Listener) writeView(w http.ResponseWriter, status int, v *sequencer.View, f *classifier.Fault) {
	if f != nil {
		writeFault(w, f)
		return
	}
	writeJSON(w, status, v)
}

// programName returns the name of the path's program in the caller's account. If it fails,
// it responds with the fault and returns false.
func (l *Listener) programName(w http.ResponseWriter, r *http.Request) (sequencer.Name, bool) {
	account, f := l.authenticate(r)
	if f == nil {
		n := sequencer.Name{Account: account.Name, ID: pat.Param(r, "id")}
		if f = n.Check(); f == nil {
			return n, true
		}
	}
	writeFault(w, f)
	return sequencer.Name{}, false
}

// serveRead serves GET /v1/programs/:id.
func (l *Listener) serveRead(w http.ResponseWriter, r *http.Request) {
	if n, ok := l.programName(w, r); ok {
		history := r.URL.Query().Get("history") == "true"
		v, f := l.options.Conductor.Read(r.Context(), sequencer.ReadRequest{Name: n, History: history})
		l.writeView(w, http.StatusOK, v, f)
	}
}

// serveEnd serves DELETE /v1/programs/:id.
func (l *Listener) serveEnd(w http.ResponseWriter, r *http.Request) {
	if n, ok := l.programName(w, r); ok {
		v, f := l.options.Conductor.End(r.Context(), sequencer.ReadRequest{Name: n})
		l.writeView(w, http.StatusOK, v, f)
	}
}

// serveLookup serves GET /v1/programs/:id/calls/:number.
func (l *Listener) serveLookup(w http.ResponseWriter, r *http.Request) {
	n, ok := l.programName(w, r)
	if !ok {
		return
	}
	number, err := strconv.Atoi(pat.Param(r, "number"))
	if err != nil || number < 1 {
		writeFault(w, classifier.New(classifier.BadRequest, classifier.RanNo, "call number %q: must be a positive integer", pat.Param(r, "number")))
		return
	}
	out, f := l.options.Conductor.Lookup(r.Context(), sequencer.LookupRequest{Name: n, Number: number})
	if f != nil {
		writeFault(w, f)
		return
	}
	writeOutcome(w, out)
}
