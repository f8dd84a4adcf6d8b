package tracker

// Sample returns at most n known replicas other than one at an address.
func (t *Tracker) Sample(n int, address string) []*Replica {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var list []*Replica
	for _, e := range t.entries { // In random order.
		if len(list) < n && e.replica.Address != address {
			list = append(list, e.replica)
		}
	}
	return list
}
