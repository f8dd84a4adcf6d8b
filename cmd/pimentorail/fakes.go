package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/emulator"
)

const readHeaderTimeout = 10 * time.Second

// fakeServer serves HTTP for a fake until its context ends.
type fakeServer struct {
	http     *http.Server
	listener net.Listener
	tomb     *tomb.Tomb
}

func serveFake(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s := &fakeServer{http: &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}, listener: l}
	s.tomb, _ = tomb.WithContext(ctx)
	s.tomb.Go(s.run)
	s.tomb.Go(s.loop)
	if err := s.tomb.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func (s *fakeServer) run() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// loop closes the server once the tomb is dying.
func (s *fakeServer) loop() error {
	<-s.tomb.Dying()
	return s.http.Close()
}

type platformCommand struct {
	Listen string `help:"Address to listen on." default:"127.0.0.1:7000"`
}

// Run runs the fake platform.
func (c *platformCommand) Run(ctx context.Context) error {
	return serveFake(ctx, c.Listen, emulator.NewPlatform(emulator.NewStore()).Handler())
}

type engineCommand struct {
	Listen      string        `help:"Address to listen on." default:"127.0.0.1:7100"`
	Batch       int           `help:"Maximum number of requests that decode together." default:"8"`
	Gap         time.Duration `help:"Time between two tokens of a request that decodes alone." default:"2ms"`
	Prefill     time.Duration `help:"Time to compute one uncached prompt token." default:"20us"`
	CacheTokens int           `help:"Capacity of the prefix cache in tokens." default:"100000"`
	IgnoreFence bool          `help:"Accept orders with an old fencing number."`
}

// Run runs the fake model engine.
func (c *engineCommand) Run(ctx context.Context) error {
	e := emulator.NewEngine(ctx, emulator.EngineOptions{
		MaxBatch: c.Batch, TokenGap: c.Gap, PrefillPerToken: c.Prefill, CacheTokens: c.CacheTokens, IgnoreFence: c.IgnoreFence,
	})
	err := serveFake(ctx, c.Listen, e.Handler())
	_ = e.Wait()
	return err
}

type toolCommand struct {
	Listen string        `help:"Address to listen on." default:"127.0.0.1:7200"`
	Pause  time.Duration `help:"Duration of each call." default:"10ms"`
}

// Run runs the fake plain service.
func (c *toolCommand) Run(ctx context.Context) error {
	return serveFake(ctx, c.Listen, emulator.NewTool(c.Pause).Handler())
}

type balancerCommand struct {
	Listen string   `help:"Address to listen on." default:"127.0.0.1:8080"`
	Backs  []string `arg:"" help:"Addresses of the daemons."`
}

// Run runs the fake load balancer.
func (c *balancerCommand) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	return ignoreCanceled(emulator.NewBalancer(ctx, l, c.Backs).Wait())
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
