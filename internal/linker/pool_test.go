package linker_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/linker"
)

// Slow answers when it is let.
type Slow struct{ release chan struct{} }

// Wait answers with a text.
func (s *Slow) Wait(q string, r *string) error {
	<-s.release
	*r = q
	return nil
}

// TestALateAnswerChangesNothing lets an answer come after its caller has given up;
// the caller's reply must stay as it is, since it is used elsewhere by then.
func TestALateAnswerChangesNothing(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := linker.NewServer("secret")
	slow := &Slow{release: make(chan struct{})}
	is.NoErr(s.Register("Slow", slow))
	s.Start(ctx, l)
	p := linker.NewPool(linker.DialTCP, "secret")
	defer p.Close()
	short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
	defer stop()
	var late string
	err = p.Call(short, l.Addr().String(), "Slow.Wait", "late", &late)
	is.True(errors.Is(err, linker.ErrLost))
	close(slow.release)
	var next string
	is.NoErr(p.Call(ctx, l.Addr().String(), "Slow.Wait", "next", &next)) // The late answer came before this one, or comes now.
	is.NoErr(p.Call(ctx, l.Addr().String(), "Slow.Wait", "next", &next))
	is.Equal(late, "")
	is.Equal(next, "next")
}

// deaf is a connection on which nobody reads.
func deaf(context.Context, string) (net.Conn, error) {
	a, b := net.Pipe()
	go (&greeted{b}).run()
	return a, nil
}

// greeted reads the greeting and nothing more.
type greeted struct{ net.Conn }

func (g *greeted) run() { _, _ = g.Read(make([]byte, 32)) }

// TestAPeerThatDoesNotReadIsDropped calls a peer whose connection takes no bytes.
func TestAPeerThatDoesNotReadIsDropped(t *testing.T) {
	is := is.New(t)
	p := linker.NewPool(deaf, "secret")
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	err := p.Call(ctx, "peer", "Slow.Wait", "x", new(string))
	is.True(errors.Is(err, linker.ErrLost))
}
