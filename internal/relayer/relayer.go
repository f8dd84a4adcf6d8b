package relayer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/follower"
	"pimentorail.example/pimentorail/internal/linker"
	"pimentorail.example/pimentorail/internal/recorder"
	"pimentorail.example/pimentorail/internal/storer"
)

const (
	// membersPeriod is the time between two reads of the member rows.
	membersPeriod = 5 * time.Second
	// membersPatience is how late their answer may be.
	membersPatience = time.Second
	// probePeriod is the time between two looks at a service that is away.
	probePeriod = 250 * time.Millisecond
	// joinMost is the longest pause between two tries to join, which are spread.
	joinMost = 4 * time.Second
	// probeTimeout bounds one look.
	probeTimeout = time.Second
	// avoidFor is how long a peer that failed is not asked.
	avoidFor = 400 * time.Millisecond
	// relayTimeout bounds a relayed call whose caller has more time.
	relayTimeout = 1500 * time.Millisecond
	// maxPeers bounds the peers that are asked for one call.
	maxPeers = 3
	// waitMargin bounds a long poll through a peer.
	waitMargin = 500 * time.Millisecond
	// Keys have partitions of their own: in the unnamed one, where replicas register,
	// the writes of many daemons that start together would wait for each other.
	secretKey  = "relay/shared/secret"
	membership = "peers"
	service    = "Relay"
)

// Options are the settings of a Relayer.
type Options struct {
	// Name is the daemon's name, the same over restarts.
	Name, Zone string
	// Address is where peers reach this daemon; empty for no relaying.
	Address string
	Dial    linker.Dialer
	Listen  func(address string) (net.Listener, error)
}

// Relayer is a storer.Table and a storer.Feed.
type Relayer struct {
	direct  *storer.Guard
	options Options
	members *members
	service *Service
	// more are further services for peers, by name.
	more     map[string]any
	recorder *recorder.Recorder
	pool     atomic.Pointer[linker.Pool]
	tomb     *tomb.Tomb
	relayed  atomic.Int64
	through  atomic.Bool
}

// New returns a relayer that knows no peers.
func New(direct *storer.Guard, r *recorder.Recorder, o Options) *Relayer {
	return &Relayer{direct: direct, options: o, members: newMembers(o.Name), service: &Service{direct: direct}, more: map[string]any{}, recorder: r}
}

// Serve offers peers a further service; call it before Start.
func (x *Relayer) Serve(name string, service any) { x.more[name] = service }

// Others implements assigner.Peers.
func (x *Relayer) Others() []assigner.Peer {
	if list := x.members.others.Load(); list != nil {
		return *list
	}
	return nil
}

// Call implements linker.Caller.
func (x *Relayer) Call(ctx context.Context, address, method string, args, reply any) error {
	pool := x.pool.Load()
	if pool == nil {
		return errors.Wrap(linker.ErrUnreached, "the deployment's secret is not known yet")
	}
	return pool.Call(ctx, address, method, args, reply)
}

// Start looks for peers until the context ends.
func (x *Relayer) Start(ctx context.Context) {
	if x.options.Address == "" {
		return
	}
	x.tomb, _ = tomb.WithContext(ctx)
	x.tomb.Go(x.run)
}

// Counts returns the calls that went through peers and those served for them.
func (x *Relayer) Counts() (relayed, served int64) { return x.relayed.Load(), x.service.served.Load() }

// Members returns the number of daemons of the zone, this one included.
func (x *Relayer) Members() int { return x.members.count() }

// Reaches reports whether the service can be reached, by itself or through a peer.
func (x *Relayer) Reaches() bool { return x.direct.Away() == 0 || x.through.Load() }

// table names the member rows of the zone, and key is this daemon's.
func (x *Relayer) table() string { return "members-" + x.options.Zone + "/" + membership }

func (x *Relayer) key() string { return storer.Prefix(x.table()) + x.options.Name }

// run joins the members and looks at the service while it is away.
func (x *Relayer) run() error {
	ctx := x.tomb.Context(nil)
	for pause := probePeriod; !x.join(ctx); pause = min(2*pause, joinMost) {
		if !x.rest(pause/2 + rand.N(pause)) {
			return nil
		}
	}
	for x.rest(probePeriod) {
		if x.direct.Away() > 0 {
			x.look(ctx)
		}
	}
	return nil
}

// rest waits; it returns false once the relayer ends.
func (x *Relayer) rest(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-x.tomb.Dying():
		return false
	}
}

// look makes a small call, so that the service's return is noticed.
func (x *Relayer) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	// The guard notes the outcome.
	_, _ = x.direct.Get(ctx, secretKey)
}

// join learns the secret, serves peers, and writes the member row.
func (x *Relayer) join(ctx context.Context) bool {
	short, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	secret, err := x.secret(short)
	if err != nil {
		x.recorder.Event("relayer", "no secret yet").Err(err).End()
		return false
	}
	if x.pool.Load() == nil {
		l, err := x.options.Listen(x.options.Address)
		if err != nil {
			x.recorder.Event("relayer", "no listener").Err(err).End()
			return true
		}
		s := linker.NewServer(secret)
		x.more[service] = x.service
		for name, v := range x.more {
			if err := s.Register(name, v); err != nil {
				x.recorder.Event("relayer", "no service").Str("name", name).Err(err).End()
				return true
			}
		}
		s.Start(ctx, l)
		x.pool.Store(linker.NewPool(x.options.Dial, secret))
	}
	value, err := json.Marshal(member{Address: x.options.Address})
	if err != nil {
		x.recorder.Event("relayer", "no member row").Err(err).End()
		return true
	}
	if _, err := x.direct.Commit(short, storer.Transaction{Writes: []storer.Write{{Key: x.key(), Value: value}}}); err != nil {
		x.recorder.Event("relayer", "no member row yet").Err(err).End()
		return false
	}
	follower.Start(ctx, x, x.members, follower.Options{Table: x.table(), Pause: membersPeriod, Patience: membersPatience})
	return true
}

// secret reads the deployment's secret; the first daemon makes it.
func (x *Relayer) secret(ctx context.Context) (string, error) {
	row, err := x.direct.Get(ctx, secretKey)
	if err != nil || row.Version > 0 {
		return string(row.Value), err
	}
	fresh := uuid.NewString()
	_, err = x.direct.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: secretKey}}, Writes: []storer.Write{{Key: secretKey, Value: []byte(fresh)}},
	})
	if err != nil {
		return "", err // Another daemon was first, or it is not certain; the next round reads it.
	}
	return fresh, nil
}

// Leave removes the member row, for a planned stop.
func (x *Relayer) Leave(ctx context.Context) {
	if _, err := x.direct.Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: x.key(), Delete: true}}}); err != nil {
		x.recorder.Event("relayer", "member row left behind").Err(err).End()
	}
}

// relay asks peers until one reaches the service.
func (x *Relayer) relay(ctx context.Context, method string, q Request, direct error) (Reply, error) {
	pool := x.pool.Load()
	if pool == nil || ctx.Err() != nil {
		return Reply{}, direct
	}
	peers := x.members.usable(time.Now())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, address := range peers[:min(len(peers), maxPeers)] {
		r, err := x.ask(ctx, pool, address, method, q)
		if err != nil || r.Outcome == Refused {
			x.members.failed(address, time.Now().Add(avoidFor))
		}
		switch {
		case errors.Is(err, linker.ErrUnreached) || err == nil && r.Outcome == Refused:
			continue // Nothing was done; the next peer may reach the service.
		case err != nil:
			return Reply{}, errors.Wrapf(storer.ErrUnavailable, "%v", err)
		}
		x.through.Store(true)
		return r, r.err()
	}
	x.through.Store(false)
	return Reply{}, direct
}

func (x *Relayer) ask(ctx context.Context, pool *linker.Pool, address, method string, q Request) (Reply, error) {
	x.relayed.Add(1)
	ctx, cancel := context.WithTimeout(ctx, relayTimeout+q.Wait)
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		q.Left = time.Until(deadline)
	}
	var r Reply
	err := pool.Call(ctx, address, service+"."+method, q, &r)
	return r, err
}

// useDirect reports whether the service is to be tried itself; without peers it
// always is, and the guard bounds the tries.
func (x *Relayer) useDirect() bool { return x.direct.Away() == 0 || x.pool.Load() == nil }

// away reports whether a read that failed directly should go through a peer.
func (x *Relayer) away(err error) bool {
	return x.direct.Away() > 0 && (errors.Is(err, storer.ErrRefused) || errors.Is(err, storer.ErrUnavailable))
}

// Get implements storer.Table.
func (x *Relayer) Get(ctx context.Context, key string) (storer.Row, error) {
	var row storer.Row
	err := storer.ErrAway
	if x.useDirect() {
		row, err = x.direct.Get(ctx, key)
	}
	if err == nil || !x.away(err) {
		return row, err
	}
	r, err := x.relay(ctx, "Get", Request{Key: key}, err)
	if err != nil || len(r.Rows) == 0 {
		return storer.Row{}, err
	}
	return r.Rows[0], nil
}

// Scan implements storer.Table.
func (x *Relayer) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	var rows []storer.Row
	err := storer.ErrAway
	if x.useDirect() {
		rows, err = x.direct.Scan(ctx, prefix, after, limit)
	}
	if err == nil || !x.away(err) {
		return rows, err
	}
	r, err := x.relay(ctx, "Scan", Request{Prefix: prefix, After: after, Limit: limit}, err)
	return r.Rows, err
}

// Commit implements storer.Table. A transaction in doubt is never sent again here.
func (x *Relayer) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	err := storer.ErrAway
	if x.useDirect() {
		var version uint64
		version, err = x.direct.Commit(ctx, tx)
		if err == nil || !errors.Is(err, storer.ErrRefused) || !x.away(err) {
			return version, err
		}
	}
	r, err := x.relay(ctx, "Commit", Request{Commit: tx}, err)
	return r.Version, err
}

// List implements storer.Feed.
func (x *Relayer) List(ctx context.Context, table string) ([]storer.Row, uint64, error) {
	var rows []storer.Row
	var version uint64
	err := storer.ErrAway
	if x.useDirect() {
		rows, version, err = x.direct.List(ctx, table)
	}
	if err == nil || !x.away(err) {
		return rows, version, err
	}
	r, err := x.relay(ctx, "List", Request{Table: table}, err)
	return r.Rows, r.Version, err
}

// Changes implements storer.Feed.
func (x *Relayer) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]storer.Change, uint64, error) {
	var changes []storer.Change
	var version uint64
	err := storer.ErrAway
	if x.useDirect() {
		changes, version, err = x.direct.Changes(ctx, table, after, wait)
	}
	if err == nil || !x.away(err) {
		return changes, version, err
	}
	// A peer's answer comes sooner, so that the way back to the service is short.
	r, err := x.relay(ctx, "Changes", Request{Table: table, Since: after, Wait: min(wait, waitMargin)}, err)
	return r.Changes, r.Version, err
}
