package configurer

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// maxAttempts bounds the attempts of Load and of a commit. It is also the number of changes
// that a ConfigConflict fault lists.
const maxAttempts = 5

// Repository reads and writes declarations in the table service.
type Repository struct {
	table storer.Table
}

// NewRepository returns a repository over a table.
func NewRepository(t storer.Table) *Repository { return &Repository{table: t} }

// Load returns the declarations at the head. It reads again if the head changes meanwhile.
func (g *Repository) Load(ctx context.Context) (*Snapshot, error) {
	for range maxAttempts {
		h, _, err := g.head(ctx)
		if err != nil {
			return nil, err
		}
		objects, err := g.objects(ctx)
		if err != nil {
			return nil, err
		}
		after, _, err := g.head(ctx)
		if err != nil {
			return nil, err
		}
		if h == after {
			return newSnapshot(h.Version, objects)
		}
	}
	return nil, errors.New("configurer: the head changed during every attempt to load it")
}

// head returns the head and the version of its row.
func (g *Repository) head(ctx context.Context) (head, uint64, error) {
	row, err := g.table.Get(ctx, headKey)
	if err != nil {
		return head{}, 0, err
	}
	var h head
	if row.Version != 0 {
		err = json.Unmarshal(row.Value, &h)
	}
	return h, row.Version, errors.Wrap(err, "head row")
}

func (g *Repository) objects(ctx context.Context) (map[string]json.RawMessage, error) {
	rows, err := storer.ScanAll(ctx, g.table, objectPrefix)
	if err != nil {
		return nil, err
	}
	objects := make(map[string]json.RawMessage, len(rows))
	for _, r := range rows {
		objects[strings.TrimPrefix(r.Key, objectPrefix)] = r.Value
	}
	return objects, nil
}

// Diff returns the edits that turn a snapshot into declarations, sorted by key.
func Diff(from *Snapshot, to *declarer.Declarations) ([]Edit, error) {
	objects, err := to.Objects()
	if err != nil {
		return nil, err
	}
	var edits []Edit
	for k, v := range objects {
		if old := from.objects[k]; !bytes.Equal(old, v) {
			edits = append(edits, Edit{Key: k, From: old, To: v})
		}
	}
	for k, old := range from.objects {
		if _, ok := objects[k]; !ok {
			edits = append(edits, Edit{Key: k, From: old})
		}
	}
	slices.SortFunc(edits, func(a, b Edit) int { return strings.Compare(a.Key, b.Key) })
	return edits, nil
}

// Apply makes declarations the next version if the head is still base, and returns a
// ConfigConflict fault if it isn't. If nothing changes, it returns the version of base.
func (g *Repository) Apply(ctx context.Context, base *Snapshot, to *declarer.Declarations, who, note string) (uint64, error) {
	edits, err := Diff(base, to)
	if err != nil || len(edits) == 0 {
		return base.version, err
	}
	h, rowVersion, err := g.head(ctx)
	if err != nil {
		return 0, err
	}
	if h.Version != base.version {
		return 0, g.conflictSince(ctx, base.version)
	}
	c := Change{
		Version: h.Version + 1, ID: uuid.NewString(), Who: who,
		When: time.Now().UTC().Format(timeFormat), Note: note, Edits: edits,
	}
	tx, err := transaction(c, rowVersion)
	if err != nil {
		return 0, err
	}
	return g.commit(ctx, tx, c)
}

// transaction returns the writes of a change, on condition of the head row's version.
func transaction(c Change, rowVersion uint64) (storer.Transaction, error) {
	tx := storer.Transaction{Conditions: []storer.Condition{{Key: headKey, Version: rowVersion}}}
	h, err := json.Marshal(head{Version: c.Version})
	if err != nil {
		return tx, errors.Wrap(err, "encode head")
	}
	data, err := json.Marshal(c)
	if err != nil {
		return tx, errors.Wrap(err, "encode change")
	}
	tx.Writes = append(tx.Writes, storer.Write{Key: headKey, Value: h}, storer.Write{Key: changeKey(c.Version), Value: data})
	for _, e := range c.Edits {
		tx.Writes = append(tx.Writes, storer.Write{Key: objectPrefix + e.Key, Value: e.To, Delete: e.To == nil})
	}
	return tx, nil
}

// commit updates the head by compare-and-swap. After an error, the change row of the
// version shows which change was accepted, if any.
func (g *Repository) commit(ctx context.Context, tx storer.Transaction, c Change) (uint64, error) {
	var err error
	for range maxAttempts {
		_, err = g.table.Commit(ctx, tx)
		if err == nil {
			return c.Version, nil
		}
		row, readErr := g.table.Get(ctx, changeKey(c.Version))
		switch {
		case readErr != nil:
			return 0, classifier.New(classifier.StoreAway, classifier.RanUnknown, "the change may have been accepted: %v", err)
		case row.Version != 0:
			var accepted Change
			if decodeErr := json.Unmarshal(row.Value, &accepted); decodeErr != nil {
				return 0, errors.Wrap(decodeErr, "decode change row")
			}
			if accepted.ID == c.ID {
				return c.Version, nil
			}
			return 0, g.conflictSince(ctx, c.Version-1)
		}
	}
	return 0, classifier.New(classifier.StoreAway, classifier.RanUnknown, "the change may have been accepted: %v", err)
}

// conflictSince returns a ConfigConflict fault that lists the first changes since a version,
// up to maxAttempts of them, and says who made them.
func (g *Repository) conflictSince(ctx context.Context, since uint64) error {
	changes, err := g.Changes(ctx, since, maxAttempts)
	if err != nil {
		return err
	}
	var lines []string
	for _, c := range changes {
		var keys []string
		for _, e := range c.Edits {
			keys = append(keys, e.Key)
		}
		lines = append(lines, c.Who+" changed "+strings.Join(keys, ", "))
	}
	return classifier.New(classifier.ConfigConflict, classifier.RanNo,
		"version %d is no longer the head: %s", since, strings.Join(lines, "; "))
}

// Changes returns up to limit accepted changes after a version, in order.
func (g *Repository) Changes(ctx context.Context, after uint64, limit int) ([]Change, error) {
	rows, err := g.table.Scan(ctx, changePrefix, changeKey(after), limit)
	if err != nil {
		return nil, err
	}
	changes := make([]Change, 0, len(rows))
	for _, r := range rows {
		var c Change
		if err := json.Unmarshal(r.Value, &c); err != nil {
			return nil, errors.Wrap(err, "decode change row")
		}
		changes = append(changes, c)
	}
	return changes, nil
}

// DeclarationsAt returns the declarations of a version by undoing the later changes.
func (g *Repository) DeclarationsAt(ctx context.Context, version uint64) (*declarer.Declarations, error) {
	s, err := g.Load(ctx)
	if err != nil {
		return nil, err
	}
	if version > s.version {
		return nil, errors.Errorf("version %d is not accepted yet; the head is %d", version, s.version)
	}
	changes, err := g.Changes(ctx, version, int(s.version-version)+1)
	if err != nil {
		return nil, err
	}
	slices.Reverse(changes)
	objects := s.objects
	for _, c := range changes {
		for _, e := range c.Edits {
			if e.From == nil {
				delete(objects, e.Key)
				continue
			}
			objects[e.Key] = e.From
		}
	}
	return declarer.Assemble(objects)
}
