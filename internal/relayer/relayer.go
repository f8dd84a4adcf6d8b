package relayer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/messenger"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	// membersPeriod is the time between two reads of the member rows.
	membersPeriod = 5 * time.Second
	// membersTimeout bounds one read of the member rows.
	membersTimeout = time.Second
	// probePeriod is the time between two probes of an unavailable store.
	probePeriod = 250 * time.Millisecond
	// maxJoinBackoff bounds the backoff between two attempts to join, before jitter.
	maxJoinBackoff = 4 * time.Second
	// probeTimeout bounds one probe and one attempt to join.
	probeTimeout = time.Second
	// avoidFor is how long no call is relayed to a peer that failed.
	avoidFor = 400 * time.Millisecond
	// relayTimeout bounds a relayed call whose caller has more time.
	relayTimeout = 1500 * time.Millisecond
	// maxPeers bounds the peers that are tried for one call.
	maxPeers = 3
	// maxPeerWait bounds the wait of a relayed long poll.
	maxPeerWait = 500 * time.Millisecond
	// The secret and the member rows have their own partitions of the store, the middle
	// segments of their keys. In the partition with the empty name, where replicas
	// register, the writes of many daemons that start together would queue behind each
	// other.
	secretKey        = "relay/shared/secret"
	membersPartition = "peers"
	serviceName      = "Relay"
)

// Options are the settings of a Relayer.
type Options struct {
	// VM is the name of this VM, which stays the same across restarts of the daemon.
	VM, Zone string
	// Process is the name of this process, which is published to the other daemons.
	Process string
	// OtherZones are the names of the other availability zones.
	OtherZones []string
	// Address is this daemon's address for peers; empty disables relaying.
	Address string
	Dial    messenger.Dialer
	// Listen opens the listener for peers. It waits while the error is one that passes, and
	// returns context.Canceled if the daemon stops meanwhile.
	Listen func(ctx context.Context, address string) (net.Listener, error)
}

// Relayer is a storer.Table and a storer.Feed that calls the store directly, or through
// a peer during an outage.
type Relayer struct {
	direct  *storer.Guard
	options Options
	members *members
	// service executes the calls of peers.
	service *Service
	// services are all RPC services offered to peers, by name.
	services map[string]any
	// streams are the handlers of connections from other daemons that carry no RPC, by kind.
	streams    map[string]messenger.StreamHandler
	neighbours neighbours
	logger     *logger.Logger
	pool       atomic.Pointer[messenger.Pool]
	tomb       *tomb.Tomb
	// joined is set once run has started the duties of a member. After a panic, it does not
	// start them again.
	joined  bool
	relayed atomic.Int64
	// reachedByPeer reports whether the last relayed call reached the store.
	reachedByPeer atomic.Bool
	// known is the deployment's secret, nil until it was read.
	known atomic.Pointer[string]
	// registry is the contact with the registry of replicas.
	registry *registry
	// left is set once a planned stop has begun to remove the member row, and wrote before the
	// row is written for the first time.
	left, wrote atomic.Bool
	startProber sync.Once
	// predecessorChecked is set once the row of the process before this one was read.
	predecessorChecked bool
}

// New returns a relayer without peers; Start begins to discover them.
func New(direct *storer.Guard, r *logger.Logger, o Options) *Relayer {
	m := newMembers(o.VM, o.Address, membersTable(o.Zone))
	g := &registry{}
	return &Relayer{
		direct: direct, options: o, members: m, registry: g, service: &Service{direct: direct, members: m, registry: g},
		services: map[string]any{}, streams: map[string]messenger.StreamHandler{}, logger: r,
	}
}

// Register registers an additional RPC service for peers; call it before Start.
func (x *Relayer) Register(name string, service any) { x.services[name] = service }

// Others implements assigner.Peers.
func (x *Relayer) Others() []assigner.Peer {
	if list := x.members.list.Load(); list != nil {
		return *list
	}
	return nil
}

// Call implements messenger.Caller.
func (x *Relayer) Call(ctx context.Context, address, method string, args, reply any) error {
	pool := x.pool.Load()
	if pool == nil {
		return errors.Wrap(messenger.ErrNotSent, "the deployment's secret is not known yet")
	}
	return pool.Call(ctx, address, method, args, reply)
}

// Start joins the zone's members, and probes the store during outages, until the
// context ends.
func (x *Relayer) Start(ctx context.Context) {
	if x.options.Address == "" {
		return
	}
	x.tomb, _ = tomb.WithContext(ctx)
	x.tomb.Go(supervisor.Loop(x.tomb, "relayer: join", x.run))
}

// Counts returns the number of calls sent to peers and of calls served for peers.
func (x *Relayer) Counts() (relayed, served int64) { return x.relayed.Load(), x.service.served.Load() }

// MemberCount returns the number of daemons of the zone, this one included.
func (x *Relayer) MemberCount() int { return x.members.count() }

// StoreReachable reports whether the store can be reached, directly or through a peer.
func (x *Relayer) StoreReachable() bool {
	return x.direct.OutageDuration() == 0 || x.reachedByPeer.Load()
}

// table returns the name of the table that holds the zone's member rows.
func (x *Relayer) table() string { return membersTable(x.options.Zone) }

// membersTable returns the name of the table that holds the member rows of a zone.
func membersTable(zone string) string { return "members-" + zone + "/" + membersPartition }

// key returns the key of this daemon's member row.
func (x *Relayer) key() string { return storer.Prefix(x.table()) + x.options.VM }

// relay sends a call to peers, one after the other, until one reaches the store. It
// returns the error of the direct call if no peer does.
func (x *Relayer) relay(ctx context.Context, method string, q Request, direct error) (Reply, error) {
	pool := x.pool.Load()
	if pool == nil || ctx.Err() != nil {
		return Reply{}, direct
	}
	peers := x.members.available(time.Now())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, address := range peers[:min(len(peers), maxPeers)] {
		r, err := x.callPeer(ctx, pool, address, method, q)
		if err != nil || r.Outcome == Refused {
			x.members.avoid(address, time.Now().Add(avoidFor))
		}
		switch {
		case errors.Is(err, messenger.ErrNotSent) || err == nil && r.Outcome == Refused:
			continue // The call was not executed; the next peer may reach the store.
		case err != nil:
			return Reply{}, errors.Wrapf(storer.ErrUnavailable, "%v", err)
		}
		x.reachedByPeer.Store(true)
		return r, r.err()
	}
	x.reachedByPeer.Store(false)
	return Reply{}, direct
}

// callPeer sends a call to one peer with the caller's remaining time.
func (x *Relayer) callPeer(ctx context.Context, pool *messenger.Pool, address, method string, q Request) (Reply, error) {
	x.relayed.Add(1)
	ctx, cancel := context.WithTimeout(ctx, relayTimeout+q.Wait)
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		q.Left = time.Until(deadline)
	}
	var r Reply
	err := pool.Call(ctx, address, serviceName+"."+method, q, &r)
	return r, err
}

// useDirect reports whether to call the store directly first. Before the daemon has
// joined its peers it always does, and the guard limits the attempts.
func (x *Relayer) useDirect() bool { return x.direct.OutageDuration() == 0 || x.pool.Load() == nil }

// shouldRelay reports whether a call that failed directly should go through a peer.
func (x *Relayer) shouldRelay(err error) bool {
	return x.direct.OutageDuration() > 0 && (errors.Is(err, storer.ErrRefused) || errors.Is(err, storer.ErrUnavailable))
}

// Get implements storer.Table.
func (x *Relayer) Get(ctx context.Context, key string) (storer.Row, error) {
	var row storer.Row
	err := storer.ErrOutage
	if x.useDirect() {
		row, err = x.direct.Get(ctx, key)
	}
	if err == nil || !x.shouldRelay(err) {
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
	err := storer.ErrOutage
	if x.useDirect() {
		rows, err = x.direct.Scan(ctx, prefix, after, limit)
	}
	if err == nil || !x.shouldRelay(err) {
		return rows, err
	}
	r, err := x.relay(ctx, "Scan", Request{Prefix: prefix, After: after, Limit: limit}, err)
	return r.Rows, err
}

// Commit implements storer.Table. A transaction whose outcome is in doubt is not retried.
func (x *Relayer) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	err := storer.ErrOutage
	if x.useDirect() {
		var version uint64
		version, err = x.direct.Commit(ctx, tx)
		if err == nil || !errors.Is(err, storer.ErrRefused) || !x.shouldRelay(err) {
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
	err := storer.ErrOutage
	if x.useDirect() {
		rows, version, err = x.direct.List(ctx, table)
	}
	if err == nil || !x.shouldRelay(err) {
		return rows, version, err
	}
	r, err := x.relay(ctx, "List", Request{Table: table}, err)
	return r.Rows, r.Version, err
}

// Changes implements storer.Feed.
func (x *Relayer) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]storer.Change, uint64, error) {
	var changes []storer.Change
	var version uint64
	err := storer.ErrOutage
	if x.useDirect() {
		changes, version, err = x.direct.Changes(ctx, table, after, wait)
	}
	if err == nil || !x.shouldRelay(err) {
		return changes, version, err
	}
	// A relayed poll waits less, so that direct calls resume soon after the outage.
	r, err := x.relay(ctx, "Changes", Request{Table: table, Since: after, Wait: min(wait, maxPeerWait)}, err)
	return r.Changes, r.Version, err
}
