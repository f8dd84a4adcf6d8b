package budgeter

import (
	"container/list"

	"pimentorail.example/pimentorail/internal/scoper"
)

// maxRetired bounds the views that are remembered after their eviction.
const maxRetired = 8192

// retiredView is what is remembered of an evicted view that holds unused tokens.
type retiredView struct {
	name, holder string
	spent, held  int
}

// retired are the evicted views that hold unused tokens. Beyond maxRetired, the account that has
// most loses those evicted first, and their unused tokens are lost.
type retired struct {
	// orders lists the views of each account, evicted last first.
	orders map[string]*list.List
	byName map[string]*list.Element
}

func newRetired() *retired {
	return &retired{orders: map[string]*list.List{}, byName: map[string]*list.Element{}}
}

func (r *retired) add(v retiredView) {
	account := scoper.Account(v.name)
	order := r.orders[account]
	if order == nil {
		order = list.New()
		r.orders[account] = order
	}
	r.byName[v.name] = order.PushFront(v)
	if len(r.byName) <= maxRetired {
		return
	}
	for _, o := range r.orders {
		if o.Len() > order.Len() {
			order = o
		}
	}
	r.remove(order.Back())
}

// take removes and returns the view of a program.
func (r *retired) take(name string) (retiredView, bool) {
	e, ok := r.byName[name]
	if !ok {
		return retiredView{}, false
	}
	return r.remove(e), true
}

func (r *retired) remove(e *list.Element) retiredView {
	v := e.Value.(retiredView)
	account := scoper.Account(v.name)
	order := r.orders[account]
	order.Remove(e)
	if order.Len() == 0 {
		delete(r.orders, account)
	}
	delete(r.byName, v.name)
	return v
}

// evict removes the view of an unused program and remembers it if it holds unused tokens. It
// does nothing while the row is locked. The caller holds b.mu.
func (b *Budgeter) evict(p *program) {
	select {
	case p.rowLock <- struct{}{}:
	default:
		return
	}
	defer p.unlock()
	p.evicted = true
	delete(b.programs, p.name)
	held := p.row.Held[p.holder]
	if held <= p.spent || p.inDoubt {
		// The number of tokens held is not known while a write is in doubt, so a later use
		// gets a new holder.
		return
	}
	b.retired.add(retiredView{name: p.name, holder: p.holder, spent: p.spent, held: held})
}

// revive returns the view of a program that was evicted, nil if it is not remembered. Only
// its holder changes the number of tokens held, so that number is known although the rest of
// the row is not; a write with the unknown version conflicts and reads the row. The caller
// holds b.mu.
func (b *Budgeter) revive(name string) *program {
	v, ok := b.retired.take(name)
	if !ok {
		return nil
	}
	p := newProgram(name, v.holder)
	p.spent = v.spent
	p.row = row{Held: map[string]int{v.holder: v.held}}
	b.programs[name] = p
	return p
}
