package tunneler

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	// noticeTimeout bounds the write of a notice to a peer that does not read.
	noticeTimeout = 300 * time.Millisecond
	// lateWriteTimeout is how long a write may last after the replica has ended its side, and latePoll
	// the time between two looks whether it has ended.
	lateWriteTimeout = time.Second
	latePoll         = 5 * time.Millisecond
)

// tunnel joins a connection of a peer with one to a replica.
type tunnel struct {
	peer    net.Conn
	reader  *bufio.Reader
	replica net.Conn
	// mu is held while a frame is written to the peer.
	mu sync.Mutex
	// writing is held while something is written to the replica, and protects writeErr, the error of
	// such a write.
	writing  sync.Mutex
	writeErr error
}

// run copies bytes until one of the connections ends. Then it closes both, so that a request
// that its client canceled ends at the replica, and a replica that is gone shows at the peer.
func (t *tunnel) run() {
	u := &upstream{tunnel: t, done: make(chan struct{})}
	go u.run()
	t.copyFrames()
	_ = t.peer.Close()
	_ = t.replica.Close()
	<-u.done
}

// copyFrames copies what the replica sends.
func (t *tunnel) copyFrames() {
	buffer := make([]byte, headBytes+maxFrame)
	for {
		n, err := t.replica.Read(buffer[headBytes:])
		if n > 0 {
			appendHead(buffer[:0], n)
			if !t.write(buffer[:headBytes+n]) {
				return
			}
		}
		if err == io.EOF && t.hasEnded() {
			t.writeHead(endFrame)
		}
		if err != nil {
			return
		}
	}
}

// hasEnded reports whether the replica has ended its side, rather than reset the connection: a reset
// fails one call only, and if that is a write, the read that follows sees an end.
func (t *tunnel) hasEnded() bool {
	for end := time.Now().Add(lateWriteTimeout); !t.writing.TryLock(); time.Sleep(latePoll) {
		if time.Now().After(end) {
			return false
		}
	}
	defer t.writing.Unlock()
	return t.writeErr == nil
}

// replicaWriter writes to the replica of a tunnel.
type replicaWriter struct{ tunnel *tunnel }

// Write implements io.Writer.
func (w replicaWriter) Write(p []byte) (int, error) {
	t := w.tunnel
	t.writing.Lock()
	defer t.writing.Unlock()
	n, err := t.replica.Write(p)
	if err != nil {
		t.writeErr = err
	}
	return n, err
}

// writeHead writes a frame without data.
func (t *tunnel) writeHead(length int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.peer.SetWriteDeadline(time.Now().Add(noticeTimeout))
	_, _ = t.peer.Write(appendHead(nil, length))
	_ = t.peer.SetWriteDeadline(time.Time{})
}

func (t *tunnel) write(frame []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, err := t.peer.Write(frame)
	return err == nil
}

// upstream copies what the peer sends to the replica.
type upstream struct {
	tunnel *tunnel
	done   chan struct{}
}

func (u *upstream) run() {
	defer close(u.done)
	t := u.tunnel
	// The peer has closed its connection, or the replica's has failed.
	defer t.replica.Close()
	defer supervisor.Recover("tunneler: copy to a replica")
	_, _ = io.CopyBuffer(replicaWriter{t}, struct{ io.Reader }{t.reader}, make([]byte, maxFrame))
}
