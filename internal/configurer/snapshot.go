package configurer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"maps"
	"time"

	"pimentorail.example/pimentorail/internal/declarer"
)

// Snapshot is an immutable, indexed version of the declarations.
type Snapshot struct {
	version  uint64
	objects  map[string]json.RawMessage
	accounts map[string]declarer.Account
	keys     map[string]string
	targets  map[string]declarer.Target
	replicas map[string]replicaEntry
	policy   declarer.Policy
}

type replicaEntry struct {
	target  string
	replica declarer.Replica
}

func newSnapshot(version uint64, objects map[string]json.RawMessage) (*Snapshot, error) {
	s := &Snapshot{version: version, objects: objects}
	d, err := declarer.Assemble(objects)
	if err != nil {
		return nil, err
	}
	s.accounts = make(map[string]declarer.Account, len(d.Accounts))
	s.keys = make(map[string]string, len(d.Accounts))
	s.targets = make(map[string]declarer.Target, len(d.Targets))
	s.replicas = map[string]replicaEntry{}
	s.policy = d.Policy
	for _, a := range d.Accounts {
		s.accounts[a.Name] = a
		s.keys[a.KeyHash] = a.Name
	}
	for _, t := range d.Targets {
		s.addTarget(t)
	}
	return s, nil
}

func (s *Snapshot) addTarget(t declarer.Target) {
	s.targets[t.Name] = t
	for _, r := range t.Replicas {
		s.replicas[declarer.ReplicaID(t.Name, r.Name)] = replicaEntry{target: t.Name, replica: r}
	}
}

// apply returns the snapshot that results from a change. It decodes only the changed
// objects.
func (s *Snapshot) apply(c Change) (*Snapshot, error) {
	changed := map[string]json.RawMessage{}
	n := &Snapshot{
		version: c.Version, objects: maps.Clone(s.objects), accounts: maps.Clone(s.accounts),
		keys: maps.Clone(s.keys), targets: maps.Clone(s.targets), replicas: maps.Clone(s.replicas), policy: s.policy,
	}
	for _, e := range c.Edits {
		if e.From != nil {
			n.removeFromIndex(e.From, e.Key)
		}
		delete(n.objects, e.Key)
		if e.To != nil {
			n.objects[e.Key] = e.To
			changed[e.Key] = e.To
		}
	}
	d, err := declarer.Assemble(changed)
	if err != nil {
		return nil, err
	}
	for _, a := range d.Accounts {
		n.accounts[a.Name] = a
		n.keys[a.KeyHash] = a.Name
	}
	for _, t := range d.Targets {
		n.addTarget(t)
	}
	if _, ok := changed["policy"]; ok {
		n.policy = d.Policy
	}
	return n, nil
}

// removeFromIndex removes the index entries of an object's earlier value.
func (s *Snapshot) removeFromIndex(from json.RawMessage, key string) {
	d, err := declarer.Assemble(map[string]json.RawMessage{key: from})
	if err != nil {
		return
	}
	for _, a := range d.Accounts {
		delete(s.accounts, a.Name)
		delete(s.keys, a.KeyHash)
	}
	for _, t := range d.Targets {
		delete(s.targets, t.Name)
		for _, r := range t.Replicas {
			delete(s.replicas, declarer.ReplicaID(t.Name, r.Name))
		}
	}
}

// Version returns the snapshot's version, zero if nothing is declared.
func (s *Snapshot) Version() uint64 { return s.version }

// Policy returns the common limits.
func (s *Snapshot) Policy() declarer.Policy { return s.policy }

// Declarations returns the complete declarations.
func (s *Snapshot) Declarations() (*declarer.Declarations, error) {
	return declarer.Assemble(s.objects)
}

// Account returns the account of a bearer key.
func (s *Snapshot) Account(key string) (declarer.Account, bool) {
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	name := s.keys[hash]
	a, ok := s.accounts[name]
	// The map is searched by hash; the digests are compared in constant time.
	same := subtle.ConstantTimeCompare([]byte(a.KeyHash), []byte(hash)) == 1
	return a, ok && same
}

// InFlight returns the in-flight limit of an account.
func (s *Snapshot) InFlight(account string) (int, bool) {
	a, ok := s.accounts[account]
	return a.InFlight, ok
}

// Target returns a target by name.
func (s *Snapshot) Target(name string) (declarer.Target, bool) {
	t, ok := s.targets[name]
	return t, ok
}

// Replica returns a replica and its target by replica id.
func (s *Snapshot) Replica(id string) (declarer.Target, declarer.Replica, bool) {
	e, ok := s.replicas[id]
	return s.targets[e.target], e.replica, ok
}

// Replicas returns the ids of all replicas.
func (s *Snapshot) Replicas() []string {
	ids := make([]string, 0, len(s.replicas))
	for id := range s.replicas {
		ids = append(ids, id)
	}
	return ids
}

// timeFormat is the format of Change.When.
const timeFormat = time.RFC3339
