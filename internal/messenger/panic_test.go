package messenger_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/messenger"
)

// Odd is a service with a method that panics.
type Odd struct{}

// Fail panics.
func (Odd) Fail(_ string, _ *string) error {
	var counts map[string]int
	counts["call"]++
	return nil
}

// Reverse returns its argument.
func (Odd) Reverse(q string, r *string) error {
	*r = q
	return nil
}

// ServeStream implements messenger.StreamHandler and panics.
func (Odd) ServeStream(net.Conn) { panic("odd header") }

func startOdd(ctx context.Context, t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := messenger.NewServer("secret")
	if err := s.Register("Odd", Odd{}); err != nil {
		t.Fatal(err)
	}
	s.RegisterStream("odd", Odd{})
	s.Start(ctx, l)
	return l.Addr().String()
}

// A method that panicked ended the process: net/rpc runs methods in goroutines of its own.
func TestMethodThatPanicsFailsItsCallOnly(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	address := startOdd(ctx, t)
	p := messenger.NewPool(messenger.DialTCP, "secret")
	defer p.Close()
	for range 3 {
		var got string
		err := p.Call(ctx, address, "Odd.Fail", "x", &got)
		is.True(errors.Is(err, messenger.ErrNoReply)) // The call may have been executed.
		is.NoErr(ctx.Err())                           // The peer answered.
		is.NoErr(p.Call(ctx, address, "Odd.Reverse", "x", &got))
		is.Equal(got, "x")
	}
}

// An unknown method or service must not end the session of other calls.
func TestUnknownMethodIsAnswered(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	address := startOdd(ctx, t)
	p := messenger.NewPool(messenger.DialTCP, "secret")
	defer p.Close()
	for _, method := range []string{"Odd.Other", "None.Fail", "none"} {
		var got string
		is.True(errors.Is(p.Call(ctx, address, method, "x", &got), messenger.ErrNoReply))
		is.NoErr(ctx.Err())
		is.NoErr(p.Call(ctx, address, "Odd.Reverse", "x", &got))
	}
}

// A stream's handler that panicked ended the process.
func TestStreamHandlerThatPanicsClosesItsConnectionOnly(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	address := startOdd(ctx, t)
	p := messenger.NewPool(messenger.DialTCP, "secret")
	defer p.Close()
	c, err := p.OpenStream(ctx, address, "odd")
	is.NoErr(err)
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	var got string
	is.NoErr(p.Call(ctx, address, "Odd.Reverse", "x", &got))
}

// BenchmarkCall measures a call on an open connection, with 8 callers.
func BenchmarkCall(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := messenger.NewServer("secret")
	if err := s.Register("Odd", Odd{}); err != nil {
		b.Fatal(err)
	}
	s.Start(ctx, l)
	p := messenger.NewPool(messenger.DialTCP, "secret")
	defer p.Close()
	b.SetParallelism(1)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			var got string
			if err := p.Call(ctx, l.Addr().String(), "Odd.Reverse", "x", &got); err != nil {
				b.Error(err)
			}
		}
	})
}
