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

// server serves a stand-in until the context ends.
type server struct {
	http     *http.Server
	listener net.Listener
	tomb     *tomb.Tomb
}

func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s := &server{http: &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}, listener: l}
	s.tomb, _ = tomb.WithContext(ctx)
	s.tomb.Go(s.run)
	s.tomb.Go(s.loop)
	if err := s.tomb.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func (s *server) run() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// loop closes the server when the stand-in stops.
func (s *server) loop() error {
	<-s.tomb.Dying()
	return s.http.Close()
}

type platformCommand struct {
	Listen string `help:"Address to listen on." default:"127.0.0.1:7000"`
}

// Run runs the platform stand-in.
func (c *platformCommand) Run(ctx context.Context) error {
	return serve(ctx, c.Listen, emulator.NewPlatform(emulator.NewStore()).Handler())
}

type engineCommand struct {
	Listen      string        `help:"Address to listen on." default:"127.0.0.1:7100"`
	Batch       int           `help:"Most requests that decode together." default:"8"`
	Gap         time.Duration `help:"Time between tokens of a lone request." default:"2ms"`
	Prefill     time.Duration `help:"Time to compute one uncached prompt token." default:"20us"`
	CacheTokens int           `help:"Capacity of the prefix cache in tokens." default:"100000"`
	IgnoreFence bool          `help:"Take orders with an old fencing number."`
}

// Run runs the engine stand-in.
func (c *engineCommand) Run(ctx context.Context) error {
	e := emulator.NewEngine(ctx, emulator.EngineOptions{
		Batch: c.Batch, Gap: c.Gap, Prefill: c.Prefill, CacheTokens: c.CacheTokens, IgnoreFence: c.IgnoreFence,
	})
	err := serve(ctx, c.Listen, e.Handler())
	_ = e.Wait()
	return err
}

type toolCommand struct {
	Listen string        `help:"Address to listen on." default:"127.0.0.1:7200"`
	Pause  time.Duration `help:"Time that each call takes." default:"10ms"`
}

// Run runs the service stand-in.
func (c *toolCommand) Run(ctx context.Context) error {
	return serve(ctx, c.Listen, emulator.NewTool(c.Pause).Handler())
}

type balancerCommand struct {
	Listen string   `help:"Address to listen on." default:"127.0.0.1:8080"`
	Backs  []string `arg:"" help:"Addresses of the daemons."`
}

// Run runs the balancer stand-in.
func (c *balancerCommand) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	return ignoreCancel(emulator.NewBalancer(ctx, l, c.Backs).Wait())
}

func ignoreCancel(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
