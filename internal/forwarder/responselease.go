package forwarder

// responseLease is the memory that one response holds. It is not safe for concurrent use.
type responseLease struct {
	memory   *responseMemory
	instance string
	// held is all that the response holds, and reserved the part of it that is counted.
	held, reserved int64
}

// hold adds n bytes, or returns an error if the response may not hold them.
func (l *responseLease) hold(n int) error {
	held := l.held + int64(n)
	if missing := held - freeResponseBytes - l.reserved; missing > 0 && l.memory.limit > 0 {
		if err := l.memory.reserve(l.instance, l.reserved, missing); err != nil {
			return err
		}
		l.reserved += missing
	}
	l.held = held
	return nil
}

// drop removes n bytes.
func (l *responseLease) drop(n int) {
	l.held -= int64(n)
	if excess := l.reserved - max(0, l.held-freeResponseBytes); excess > 0 {
		l.memory.release(l.instance, excess)
		l.reserved -= excess
	}
}

// close removes all bytes.
func (l *responseLease) close() { l.drop(int(l.held)) }
