package messenger_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/messenger"
)

// Slow is a service that replies once release is closed.
type Slow struct{ release chan struct{} }

// Wait returns its argument.
func (s *Slow) Wait(q string, r *string) error {
	<-s.release
	*r = q
	return nil
}

// TestALateAnswerChangesNothing checks that a reply that arrives after its caller's context
// has ended does not modify the caller's variable, which may be in use again by then.
func TestALateAnswerChangesNothing(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := messenger.NewServer("secret")
	slow := &Slow{release: make(chan struct{})}
	is.NoErr(s.Register("Slow", slow))
	s.Start(ctx, l)
	p := messenger.NewPool(messenger.DialTCP, "secret")
	defer p.Close()
	shortCtx, stop := context.WithTimeout(ctx, 20*time.Millisecond)
	defer stop()
	var late string
	err = p.Call(shortCtx, l.Addr().String(), "Slow.Wait", "late", &late)
	is.True(errors.Is(err, messenger.ErrNoReply))
	close(slow.release)
	var next string
	is.NoErr(p.Call(ctx, l.Addr().String(), "Slow.Wait", "next", &next)) // The late reply arrives before this reply or the next.
	is.NoErr(p.Call(ctx, l.Addr().String(), "Slow.Wait", "next", &next))
	is.Equal(late, "")
	is.Equal(next, "next")
}

// dialUnresponsive returns a connection to a peer that reads nothing after the handshake.
func dialUnresponsive(context.Context, string) (net.Conn, error) {
	a, b := net.Pipe()
	go (&handshakeReader{b}).run()
	return a, nil
}

// handshakeReader is the end of a connection that reads the handshake and nothing more.
type handshakeReader struct{ net.Conn }

func (g *handshakeReader) run() { _, _ = g.Read(make([]byte, 32)) }

// TestAPeerThatDoesNotReadIsDropped checks that a call to a peer that does not read fails
// with ErrNoReply instead of blocking.
func TestAPeerThatDoesNotReadIsDropped(t *testing.T) {
	is := is.New(t)
	p := messenger.NewPool(dialUnresponsive, "secret")
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	err := p.Call(ctx, "peer", "Slow.Wait", "x", new(string))
	is.True(errors.Is(err, messenger.ErrNoReply))
}
