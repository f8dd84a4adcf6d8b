package messenger

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync"

	"github.com/pkg/errors"
)

// rpcSession serves the calls of one connection. rpc.Server.ServeConn runs methods in goroutines
// of its own, in which a panic ends the process. Here each call has a goroutine that reads its
// request, starts the goroutine of the next call, and runs the method.
type rpcSession struct {
	server  *rpc.Server
	conn    net.Conn
	decoder *gob.Decoder
	calls   sync.WaitGroup

	// mu is held while a response is written.
	mu      sync.Mutex
	buffer  *bufio.Writer
	encoder *gob.Encoder
}

func newRPCSession(s *rpc.Server, c net.Conn) *rpcSession {
	x := &rpcSession{server: s, conn: c, decoder: gob.NewDecoder(c), buffer: bufio.NewWriter(c)}
	x.encoder = gob.NewEncoder(x.buffer)
	return x
}

// run serves calls until the connection is closed, and waits for those in progress.
func (s *rpcSession) run() {
	s.next()
	s.calls.Wait()
}

// next reads and serves the next call.
func (s *rpcSession) next() {
	s.calls.Add(1)
	go (&rpcCall{session: s}).run()
}

// write writes a response. A connection on which a part of one was written is closed.
func (s *rpcSession) write(r *rpc.Response, body any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := false
	defer func() {
		if !written {
			_ = s.conn.Close()
		}
	}()
	if err := s.encoder.Encode(r); err != nil {
		return errors.Wrap(err, "encode head of response")
	}
	if err := s.encoder.Encode(body); err != nil {
		return errors.Wrap(err, "encode response")
	}
	err := s.buffer.Flush()
	written = err == nil
	return errors.Wrap(err, "send response")
}
