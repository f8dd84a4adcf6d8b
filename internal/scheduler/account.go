package scheduler

import (
	"container/list"
	"time"
)

// account holds the waiting calls of one client account.
type account struct {
	name    string
	weight  float64
	tag     float64
	queued  float64
	count   int
	index   int
	waiting [levels]*list.List
}

func newAccount(name string) *account {
	a := &account{name: name, index: -1}
	for l := range a.waiting {
		a.waiting[l] = list.New()
	}
	return a
}

// best returns the level whose head goes first: a head rises one level for each ageing period it waited.
func (a *account) best(now, ageing time.Duration) int {
	best, least := -1, 0.0
	for l, q := range a.waiting {
		if q.Len() == 0 {
			continue
		}
		head := q.Front().Value.(*Item)
		rank := float64(l) - float64(now-head.Arrived)/float64(ageing)
		if best < 0 || rank < least {
			best, least = l, rank
		}
	}
	return best
}

// accounts is a heap by tag, then by name.
type accounts []*account

func (h accounts) Len() int { return len(h) }

func (h accounts) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].name < h[j].name
}

func (h accounts) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *accounts) Push(x any) {
	a := x.(*account)
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *accounts) Pop() any {
	old := *h
	a := old[len(old)-1]
	*h = old[:len(old)-1]
	a.index = -1
	return a
}
