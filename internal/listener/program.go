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

// programRequest creates a program.
type programRequest struct {
	ID     string `json:"id"`
	Parent string `json:"parent"`
	Budget int    `json:"budget"`
}

func newAnswerID() string { return "chatcmpl-" + uuid.NewString() }

// serveCreate serves POST /v1/programs.
func (l *Listener) serveCreate(w http.ResponseWriter, r *http.Request) {
	account, body, ok := l.open(w, r, maxProgramBytes)
	if !ok {
		return
	}
	var q programRequest
	if err := json.Unmarshal(body, &q); err != nil {
		writeFault(w, classifier.New(classifier.BadRequest, classifier.RanNo, "body: %v", err))
		return
	}
	if q.Budget > account.ProgramBudget {
		writeFault(w, classifier.New(classifier.BadRequest, classifier.RanNo, "budget: at most %d tokens are allowed, not %d", account.ProgramBudget, q.Budget))
		return
	}
	if q.ID == "" {
		q.ID = uuid.NewString()
	}
	if q.Parent != "" {
		q.ID = q.Parent + "." + q.ID
	}
	name := sequencer.Name{Account: account.Name, ID: q.ID}
	v, f := l.o.Conductor.Create(r.Context(), sequencer.CreateRequest{Name: name, Budget: q.Budget})
	l.view(w, http.StatusCreated, v, f)
}

func (l *Listener) view(w http.ResponseWriter, status int, v *sequencer.View, f *classifier.Fault) {
	if f != nil {
		writeFault(w, f)
		return
	}
	writeJSON(w, status, v)
}

// named returns the program that the path names within the caller's account.
func (l *Listener) named(w http.ResponseWriter, r *http.Request) (sequencer.Name, bool) {
	account, f := l.account(r)
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
	if n, ok := l.named(w, r); ok {
		history := r.URL.Query().Get("history") == "true"
		v, f := l.o.Conductor.Read(r.Context(), sequencer.ReadRequest{Name: n, History: history})
		l.view(w, http.StatusOK, v, f)
	}
}

// serveEnd serves DELETE /v1/programs/:id.
func (l *Listener) serveEnd(w http.ResponseWriter, r *http.Request) {
	if n, ok := l.named(w, r); ok {
		v, f := l.o.Conductor.End(r.Context(), sequencer.ReadRequest{Name: n})
		l.view(w, http.StatusOK, v, f)
	}
}

// serveLookup serves GET /v1/programs/:id/calls/:number.
func (l *Listener) serveLookup(w http.ResponseWriter, r *http.Request) {
	n, ok := l.named(w, r)
	if !ok {
		return
	}
	number, err := strconv.Atoi(pat.Param(r, "number"))
	if err != nil || number < 1 {
		writeFault(w, classifier.New(classifier.BadRequest, classifier.RanNo, "call number %q: a whole number from 1 is allowed", pat.Param(r, "number")))
		return
	}
	out, f := l.o.Conductor.Lookup(r.Context(), sequencer.LookupRequest{Name: n, Number: number})
	if f != nil {
		writeFault(w, f)
		return
	}
	writeOutcome(w, out)
}
