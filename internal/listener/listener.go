package listener

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"goji.io"
	"goji.io/pat"
	"k8s.io/klog/v2"

	"pimentorail.example/pimentorail/internal/conductor"
	"pimentorail.example/pimentorail/internal/configurer"
	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// Config provides the declarations in force. configurer.Watcher implements it.
type Config interface {
	Snapshot() *configurer.Snapshot
	Confirmed() bool
}

// Options configures a Listener.
type Options struct {
	Conductor *conductor.Conductor
	Config    Config
	Scope     tally.Scope
	// Ready returns nil if the daemon should get new connections, or else the reason why not.
	Ready func() error
	// Metrics serves the metrics; nil disables the endpoint.
	Metrics http.Handler
}

// Listener implements the HTTP API for callers.
type Listener struct {
	options  Options
	stopping atomic.Bool
}

// New returns a listener with the given options.
func New(o Options) *Listener { return &Listener{options: o} }

// Stop makes the daemon unready and closes each connection after its next response, so that
// callers reconnect elsewhere.
func (l *Listener) Stop() { l.stopping.Store(true) }

// Handler returns the handler of all endpoints.
func (l *Listener) Handler() http.Handler {
	m := goji.NewMux()
	m.Use(l.observe)
	m.HandleFunc(pat.Post("/v1/chat/completions"), l.serveChat)
	m.HandleFunc(pat.Post("/v1/services/:target"), l.serveService)
	m.HandleFunc(pat.Post("/v1/programs"), l.serveCreate)
	m.HandleFunc(pat.Get("/v1/programs/:id"), l.serveRead)
	m.HandleFunc(pat.Delete("/v1/programs/:id"), l.serveEnd)
	m.HandleFunc(pat.Get("/v1/programs/:id/calls/:number"), l.serveLookup)
	m.HandleFunc(pat.Get("/healthz"), l.serveHealth)
	m.HandleFunc(pat.Get("/readyz"), l.serveReady)
	if l.options.Metrics != nil {
		m.Handle(pat.Get("/metrics"), l.options.Metrics)
	}
	return m
}

// observe records the duration of requests, recovers from panics, and closes connections
// while the daemon stops.
func (l *Listener) observe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		timer := l.options.Scope.Timer("request").Start()
		defer timer.Stop()
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			klog.Errorf("listener: %s %s: panic: %v", r.Method, r.URL.Path, p)
			writeFault(w, classifier.New(classifier.Internal, classifier.RanUnknown, "unexpected internal error"))
		}()
		next.ServeHTTP(w, r)
	})
}

// authenticate returns the client account of the bearer key.
func (l *Listener) authenticate(r *http.Request) (declarer.Account, *classifier.Fault) {
	snapshot := l.options.Config.Snapshot()
	if snapshot.Version() == 0 {
		return declarer.Account{}, classifier.New(classifier.ConfigUnsure, classifier.RanNo, "no declarations are in force yet").After(time.Second)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok {
		if a, found := snapshot.Account(key); found {
			return a, nil
		}
	}
	l.options.Scope.Counter("bad-keys").Inc(1)
	return declarer.Account{}, classifier.New(classifier.BadKey, classifier.RanNo, "the Authorization header has no valid bearer key of a client account")
}

// newCall returns a call built from the request's headers and the declared target.
func (l *Listener) newCall(r *http.Request, a declarer.Account, target string, kind declarer.Kind) (*conductor.Call, *classifier.Fault) {
	t, ok := l.options.Config.Snapshot().Target(target)
	if !ok || t.Kind != kind || !slices.Contains(a.Targets, target) {
		return nil, classifier.New(classifier.NoSuchTarget, classifier.RanNo, "the account has no access to a %s target %q", kind, target)
	}
	h, f := parseCallHeaders(r)
	if f != nil {
		return nil, f
	}
	c := &conductor.Call{Account: a, Program: h.program, Number: h.number, Key: h.key, Target: t, MaxWait: h.deadline}
	return c, nil
}

// readRequest returns the account and the complete body of a request. If it fails, it
// responds with the fault and returns false.
func (l *Listener) readRequest(w http.ResponseWriter, r *http.Request, limit int64) (declarer.Account, []byte, bool) {
	account, f := l.authenticate(r)
	if f != nil {
		writeFault(w, f)
		return account, nil, false
	}
	body, f := readBody(w, r, limit)
	if f != nil {
		writeFault(w, f)
		return account, nil, false
	}
	return account, body, true
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *classifier.Fault) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, classifier.New(classifier.TooLarge, classifier.RanNo, "body: larger than the limit of %d bytes", limit)
	}
	if err != nil {
		return nil, classifier.New(classifier.BadRequest, classifier.RanNo, "body: %v", err)
	}
	return data, nil
}

func (l *Listener) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

// serveReady reports to the load balancer whether to open connections to this daemon.
func (l *Listener) serveReady(w http.ResponseWriter, _ *http.Request) {
	if l.stopping.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	if err := l.options.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}
