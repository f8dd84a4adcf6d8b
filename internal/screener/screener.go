package screener

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
)

const (
	// freeBytes and freeFields are the size of a head that costs nothing.
	freeBytes, freeFields = 4 << 10, 64
	// byteCost is the memory of a head as a multiple of its bytes, and fieldBytes the memory of one
	// field beside those.
	byteCost, fieldBytes = 4, 256
	// headsDivisor divides the memory of the process to give the budget of heads.
	headsDivisor = 8
	// connBytes is the memory of a connection with a usual head, and connsPercent the part of the
	// process's memory that connections may take.
	connBytes, connsPercent = 40 << 10, 35
	// minConns is the least number of connections.
	minConns = 64
	// bufferBytes is the size of the buffer from which http.Server reads.
	bufferBytes = 4 << 10
)

// Screener bounds the memory of heads and the number of connections of a process.
type Screener struct {
	budget   int64
	maxConns int

	mu   sync.Mutex
	used int64
	// open is the number of connections, and waiting those that have no request, the one that has
	// waited for longest first.
	open             int
	waiting          *list.List
	refused, evicted int64
}

// New returns a screener for a process with a number of bytes of memory.
func New(memoryBytes int64) *Screener {
	return &Screener{
		budget: memoryBytes / headsDivisor, maxConns: max(minConns, int(memoryBytes*connsPercent/100/connBytes)), waiting: list.New(),
	}
}

// Counts returns the current counters.
func (s *Screener) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Refused: s.refused, Evicted: s.evicted, HeadBytes: s.used, Open: s.open}
}

// Wrap returns a listener whose connections are screened. Connections other than those of a guarded
// server wait for a request until Admit is called.
func (s *Screener) Wrap(l net.Listener) net.Listener { return &listener{Listener: l, screener: s} }

// contextKey is the key of a connection in the contexts of its requests.
type contextKey struct{}

// Guard lets a server tell the screener where the heads of requests begin and end; call it before the
// server starts, once its fields are set. Its listener must be one of Wrap, or wrap one.
func (s *Screener) Guard(h *http.Server) {
	h.Handler = &handler{next: h.Handler}
	h.ConnContext = func(ctx context.Context, n net.Conn) context.Context {
		c := find(n)
		if c == nil {
			return ctx
		}
		c.speaksHTTP()
		return context.WithValue(ctx, contextKey{}, c)
	}
	observe := h.ConnState
	h.ConnState = func(n net.Conn, state http.ConnState) {
		if observe != nil {
			observe(n, state)
		}
		if c := find(n); c != nil && state == http.StateIdle {
			c.await()
		}
	}
}

// find returns the screened connection that a connection is or wraps, or nil.
func find(n net.Conn) *conn {
	for n != nil {
		if c, ok := n.(*conn); ok {
			return c
		}
		w, ok := n.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		n = w.NetConn()
	}
	return nil
}

// admit returns a new connection, nil if there are too many and none of them waits. It closes the one
// that has waited for longest if there are too many.
func (s *Screener) admit(n net.Conn) *conn {
	s.mu.Lock()
	var oldest *conn
	if s.open >= s.maxConns {
		s.evicted++
		front := s.waiting.Front()
		if front == nil {
			s.mu.Unlock()
			return nil
		}
		oldest = front.Value.(*conn)
		s.forget(oldest)
	}
	c := &conn{Conn: n, screener: s}
	s.open++
	c.place = s.waiting.PushBack(c)
	s.mu.Unlock()
	if oldest != nil {
		_ = oldest.Conn.Close()
	}
	return c
}

// forget takes a connection that closes out of all counts. The caller holds the lock.
func (s *Screener) forget(c *conn) {
	if c.gone {
		return
	}
	c.gone = true
	s.open--
	s.used -= c.held
	c.held = 0
	s.leave(c)
}

// leave takes a connection out of those that wait. The caller holds the lock.
func (s *Screener) leave(c *conn) {
	if c.place != nil {
		s.waiting.Remove(c.place)
		c.place = nil
	}
}
