package relayer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/follower"
	"pimentorail.example/pimentorail/internal/messenger"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
)

// run joins the members. After a panic it goes on with the steps that are not done.
func (x *Relayer) run() error {
	ctx := x.tomb.Context(nil)
	var secret string
	if !x.retry(func() (done bool) {
		secret, done = x.readSecret(ctx)
		return done
	}) {
		return nil
	}
	x.startProber.Do(func() { x.tomb.Go(supervisor.Loop(x.tomb, "relayer: probes", (&prober{relayer: x}).run)) })
	if x.pool.Load() != nil || x.serve(ctx, secret) {
		x.retry(func() bool { return x.joined || x.join(ctx) })
	}
	return nil
}

// retry calls attempt with a backoff until it returns true. It returns false if the relayer
// stops meanwhile.
func (x *Relayer) retry(attempt func() bool) bool {
	for backoff := probePeriod; !attempt(); backoff = min(2*backoff, maxJoinBackoff) {
		if !x.sleep(backoff/2 + rand.N(backoff)) {
			return false
		}
	}
	return true
}

// sleep waits for a duration; it returns false if the relayer stops meanwhile.
func (x *Relayer) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-x.tomb.Dying():
		return false
	}
}

// readSecret makes one attempt to read the secret.
func (x *Relayer) readSecret(ctx context.Context) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	secret, err := x.secret(ctx)
	if err == nil {
		// Another writer may have spoiled the row for a moment.
		_, err = uuid.Parse(secret)
		err = errors.Wrapf(err, "row %q holds no secret", secretKey)
	}
	if err != nil {
		x.logger.Event("relayer", "no secret yet").Err(err).End()
	}
	return secret, err == nil
}

// serve starts to serve peers once the listener is open. It returns false if it can't: the
// daemon then goes on without peers.
func (x *Relayer) serve(ctx context.Context, secret string) bool {
	l, err := x.options.Listen(ctx, x.options.Address)
	if errors.Is(err, context.Canceled) {
		return false // The daemon stops.
	}
	if err != nil {
		x.logger.Event("relayer", "no listener").Err(err).End()
		return false
	}
	s := messenger.NewServer(secret)
	x.services[serviceName] = x.service
	for name, v := range x.services {
		if err := s.Register(name, v); err != nil {
			x.logger.Event("relayer", "no service").Str("name", name).Err(err).End()
			_ = l.Close()
			return false
		}
	}
	for kind, h := range x.streams {
		s.RegisterStream(kind, h)
	}
	s.Start(ctx, l)
	x.pool.Store(messenger.NewPool(x.options.Dial, secret))
	x.known.Store(&secret)
	return true
}

// join writes the member row. It returns false if it should be called again; true also after
// a permanent failure and once a planned stop has begun.
func (x *Relayer) join(ctx context.Context) bool {
	attemptCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	x.checkPredecessor(attemptCtx)
	value, err := x.memberValue(time.Now())
	if err != nil {
		x.logger.Event("relayer", "no member row").Err(err).End()
		return true
	}
	x.wrote.Store(true)
	if x.left.Load() {
		return true
	}
	version, err := x.direct.Commit(attemptCtx, storer.Transaction{Writes: []storer.Write{{Key: x.key(), Value: value}}})
	if err != nil {
		x.logger.Event("relayer", "no member row yet").Err(err).End()
		return false
	}
	follower.Start(ctx, x, x.members, follower.Options{Table: x.table(), PollInterval: membersPeriod, Timeout: membersTimeout})
	x.tomb.Go(supervisor.Task("relayer: announcement", (&announcement{relayer: x}).run))
	x.tomb.Go(supervisor.Loop(x.tomb, "relayer: renewal", newRenewal(x, version, time.Now()).run))
	x.tomb.Go(supervisor.Loop(x.tomb, "relayer: expiry", (&expiry{relayer: x}).run))
	x.joined = true
	return true
}

// secret reads the deployment's secret, or creates it if there is none yet.
func (x *Relayer) secret(ctx context.Context) (string, error) {
	row, err := x.direct.Get(ctx, secretKey)
	if err != nil || row.Version > 0 {
		return string(row.Value), err
	}
	created := uuid.NewString()
	_, err = x.direct.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: secretKey}}, Writes: []storer.Write{{Key: secretKey, Value: []byte(created)}},
	})
	if err != nil {
		// Another daemon created it, or the outcome is in doubt; the next attempt reads it.
		return "", err
	}
	return created, nil
}

// Leave deletes the member row; call it on a planned stop. A daemon that has not written the
// row leaves it alone, since it may be that of another process of the VM.
func (x *Relayer) Leave(ctx context.Context) {
	x.left.Store(true)
	if !x.wrote.Load() {
		return
	}
	if _, err := x.direct.Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: x.key(), Delete: true}}}); err != nil {
		x.logger.Event("relayer", "member row left behind").Err(err).End()
	}
}
