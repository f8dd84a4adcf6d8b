package server

import (
	"sync"
	"time"

	"pimentorail.example/pimentorail/internal/recorder"
)

// link knows since when the store does not answer, from what the followers see.
type link struct {
	recorder *recorder.Recorder

	mu   sync.Mutex
	gone map[string]time.Time
}

func newLink(r *recorder.Recorder) *link { return &link{recorder: r, gone: map[string]time.Time{}} }

func (l *link) lost(what string, err error) {
	l.mu.Lock()
	l.gone[what] = time.Now()
	l.mu.Unlock()
	l.recorder.Event("server", "store lost").Str("for", what).Err(err).End()
}

func (l *link) regained(what string) {
	l.mu.Lock()
	since := l.gone[what]
	delete(l.gone, what)
	l.mu.Unlock()
	l.recorder.Event("server", "store regained").Str("for", what).Dur("away", time.Since(since)).End()
}
