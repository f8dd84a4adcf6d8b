package scheduler

import (
	"container/list"
	"time"
)

// account holds the waiting calls of one client account, a queue for each level.
type account struct {
	name         string
	weight       float64
	virtualTime  float64
	queuedCost   float64
	waitingCalls int
	heapIndex    int
	queues       [levels]*list.List
}

func newAccount(name string) *account {
	a := &account{name: name, heapIndex: -1}
	for l := range a.queues {
		a.queues[l] = list.New()
	}
	return a
}

// nextLevel returns the level whose first call goes next. A waiting call moves up by
// one level for each ageing period, so that no level starves.
func (a *account) nextLevel(now, ageing time.Duration) int {
	best, minRank := -1, 0.0
	for l, q := range a.queues {
		if q.Len() == 0 {
			continue
		}
		head := q.Front().Value.(*Item)
		rank := float64(l) - float64(now-head.Arrived)/float64(ageing)
		if best < 0 || rank < minRank {
			best, minRank = l, rank
		}
	}
	return best
}

// accounts is a min-heap by virtual time, then by name.
type accounts []*account

func (h accounts) Len() int { return len(h) }

func (h accounts) Less(i, j int) bool {
	if h[i].virtualTime != h[j].virtualTime {
		return h[i].virtualTime < h[j].virtualTime
	}
	return h[i].name < h[j].name
}

func (h accounts) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *accounts) Push(x any) {
	a := x.(*account)
	a.heapIndex = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *accounts) Pop() any {
	old := *h
	a := old[len(old)-1]
	*h = old[:len(old)-1]
	a.heapIndex = -1
	return a
}
