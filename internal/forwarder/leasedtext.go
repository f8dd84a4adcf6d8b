package forwarder

// textChunkBytes is the size of the chunks of a leasedText.
const textChunkBytes = 64 << 10

// leasedText is a text that grows without copies of what it has, and is held in a lease.
type leasedText struct {
	// full are the chunks before the last one.
	full  [][]byte
	last  leasedBuffer
	bytes int
}

// append adds data to the text.
func (t *leasedText) append(l *responseLease, data []byte) error {
	t.last.lease = l
	for len(data) > 0 {
		n := min(len(data), textChunkBytes-len(t.last.bytes))
		if err := t.last.append(data[:n]); err != nil {
			return err
		}
		t.bytes += n
		data = data[n:]
		if len(t.last.bytes) == textChunkBytes {
			t.full, t.last.bytes = append(t.full, t.last.bytes), nil
		}
	}
	return nil
}

// appendTo adds the text to b.
func (t *leasedText) appendTo(b []byte) []byte {
	for _, chunk := range t.full {
		b = append(b, chunk...)
	}
	return append(b, t.last.bytes...)
}
