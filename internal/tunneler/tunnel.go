package tunneler

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"pimentorail.example/pimentorail/internal/supervisor"
)

// noticeTimeout bounds the write of a notice to a peer that does not read.
const noticeTimeout = 300 * time.Millisecond

// tunnel joins a connection of a peer with one to a replica.
type tunnel struct {
	peer    net.Conn
	reader  *bufio.Reader
	replica net.Conn
	// mu is held while a frame is written to the peer.
	mu sync.Mutex
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
		if err == io.EOF {
			t.writeHead(endFrame)
		}
		if err != nil {
			return
		}
	}
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
	_, _ = io.CopyBuffer(struct{ io.Writer }{t.replica}, struct{ io.Reader }{t.reader}, make([]byte, maxFrame))
}
