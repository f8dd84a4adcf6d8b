package declarer

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

const (
	accountObject = "account/"
	targetObject  = "target/"
	policyObject  = "policy"
)

// Objects returns the declarations as one JSON value for each object, by key.
func (d *Declarations) Objects() (map[string]json.RawMessage, error) {
	objects := make(map[string]json.RawMessage, len(d.Accounts)+len(d.Targets)+1)
	for _, a := range d.Accounts {
		if err := put(objects, accountObject+a.Name, a); err != nil {
			return nil, err
		}
	}
	for _, t := range d.Targets {
		if err := put(objects, targetObject+t.Name, t); err != nil {
			return nil, err
		}
	}
	return objects, put(objects, policyObject, d.Policy)
}

func put(objects map[string]json.RawMessage, key string, v any) error {
	data, err := json.Marshal(v)
	objects[key] = data
	return errors.Wrapf(err, "encode %s", key)
}

// Assemble is the inverse of Objects; accounts and targets are ordered by name.
func Assemble(objects map[string]json.RawMessage) (*Declarations, error) {
	keys := make([]string, 0, len(objects))
	for k := range objects {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	d := &Declarations{Accounts: []Account{}, Targets: []Target{}}
	for _, k := range keys {
		if err := d.add(k, objects[k]); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Declarations) add(key string, data json.RawMessage) error {
	switch {
	case strings.HasPrefix(key, accountObject):
		var a Account
		err := json.Unmarshal(data, &a)
		d.Accounts = append(d.Accounts, a)
		return errors.Wrap(err, key)
	case strings.HasPrefix(key, targetObject):
		var t Target
		err := json.Unmarshal(data, &t)
		d.Targets = append(d.Targets, t)
		return errors.Wrap(err, key)
	case key == policyObject:
		return errors.Wrap(json.Unmarshal(data, &d.Policy), key)
	}
	return errors.Errorf("object %q is of no known kind", key)
}

// SetDraining changes whether a replica takes new work; false means that there is none of that id.
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
