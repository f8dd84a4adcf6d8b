package server

import (
	"sync"
	"time"

	"pimentorail.example/pimentorail/internal/logger"
)

// outageLog logs when each follower loses the store and when it reaches it again.
type outageLog struct {
	logger *logger.Logger

	mu        sync.Mutex
	startedAt map[string]time.Time
}

func newOutageLog(r *logger.Logger) *outageLog {
	return &outageLog{logger: r, startedAt: map[string]time.Time{}}
}

func (l *outageLog) begin(source string, err error) {
	l.mu.Lock()
	l.startedAt[source] = time.Now()
	l.mu.Unlock()
	l.logger.Event("server", "store lost").Str("for", source).Err(err).End()
}

func (l *outageLog) end(source string) {
	l.mu.Lock()
	since := l.startedAt[source]
	delete(l.startedAt, source)
	l.mu.Unlock()
	l.logger.Event("server", "store regained").Str("for", source).Dur("away", time.Since(since)).End()
}
