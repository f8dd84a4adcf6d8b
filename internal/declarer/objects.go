package declarer

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

const (
	accountKeyPrefix = "account/"
	targetKeyPrefix  = "target/"
	policyKey        = "policy"
)

// Objects splits the declarations into JSON objects by key: one for each account, one
// for each target and one for the policy.
func (d *Declarations) Objects() (map[string]json.RawMessage, error) {
	objects := make(map[string]json.RawMessage, len(d.Accounts)+len(d.Targets)+1)
	for _, a := range d.Accounts {
		if err := addObject(objects, accountKeyPrefix+a.Name, a); err != nil {
			return nil, err
		}
	}
	for _, t := range d.Targets {
		if err := addObject(objects, targetKeyPrefix+t.Name, t); err != nil {
			return nil, err
		}
	}
	return objects, addObject(objects, policyKey, d.Policy)
}

func addObject(objects map[string]json.RawMessage, key string, v any) error {
	data, err := json.Marshal(v)
	objects[key] = data
	return errors.Wrapf(err, "encode %s", key)
}

// Assemble is the inverse of Objects. It orders accounts and targets by name.
func Assemble(objects map[string]json.RawMessage) (*Declarations, error) {
	keys := make([]string, 0, len(objects))
	for k := range objects {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	d := &Declarations{Accounts: []Account{}, Targets: []Target{}}
	for _, k := range keys {
		if err := d.decodeObject(k, objects[k]); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Declarations) decodeObject(key string, data json.RawMessage) error {
	switch {
	case strings.HasPrefix(key, accountKeyPrefix):
		var a Account
		err := json.Unmarshal(data, &a)
		d.Accounts = append(d.Accounts, a)
		return errors.Wrap(err, key)
	case strings.HasPrefix(key, targetKeyPrefix):
		var t Target
		err := json.Unmarshal(data, &t)
		d.Targets = append(d.Targets, t)
		return errors.Wrap(err, key)
	case key == policyKey:
		return errors.Wrap(json.Unmarshal(data, &d.Policy), key)
	}
	return errors.Errorf("object %q has an unknown kind", key)
}

// SetDraining sets whether a replica is draining. It reports whether a replica with the
// id exists.
func (d *Declarations) SetDraining(id string, draining bool) bool {
	for i := range d.Targets {
		t := &d.Targets[i]
		for j := range t.Replicas {
			if ReplicaID(t.Name, t.Replicas[j].Name) == id {
				t.Replicas[j].Draining = draining
				return true
			}
		}
	}
	return false
}
