package messenger_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/messenger"
)

// echo sends back what it receives on a stream.
type echo struct{}

// ServeStream implements messenger.StreamHandler.
func (echo) ServeStream(c net.Conn) { _, _ = io.Copy(c, c) }

// A stream was served to a process that does not know the secret, or by the wrong handler.
func TestStreamsNeedTheSecretAndAKind(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := messenger.NewServer("secret")
	s.RegisterStream("echo", echo{})
	s.Start(ctx, l)
	for _, row := range []struct {
		secret, kind string
		served       bool
	}{
		{"secret", "echo", true},
		{"secret", "other", false},
		{"wrong", "echo", false},
		{"secret\x00echo", "", false},
	} {
		c, err := messenger.NewPool(messenger.DialTCP, row.secret).OpenStream(ctx, l.Addr().String(), row.kind)
		is.NoErr(err)
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, err = c.Write([]byte("hello"))
		is.NoErr(err)
		got := make([]byte, 5)
		_, err = io.ReadFull(c, got)
		is.Equal(err == nil, row.served)
		_ = c.Close()
	}
}
