package forwarder

// minBufferBytes is the first capacity of a buffer.
const minBufferBytes = 1 << 10

// leasedBuffer is a buffer whose capacity is held in a lease.
type leasedBuffer struct {
	lease *responseLease
	bytes []byte
}

// grow makes room for n more bytes. The lease holds both arrays while the bytes are copied.
func (b *leasedBuffer) grow(n int) error {
	needed, former := len(b.bytes)+n, cap(b.bytes)
	if needed <= former {
		return nil
	}
	size := max(needed, 2*former, minBufferBytes)
	if err := b.lease.hold(size); err != nil {
		return err
	}
	b.bytes = append(make([]byte, 0, size), b.bytes...)
	b.lease.drop(former)
	return nil
}

// append adds data to the buffer.
func (b *leasedBuffer) append(data []byte) error {
	if err := b.grow(len(data)); err != nil {
		return err
	}
	b.bytes = append(b.bytes, data...)
	return nil
}

// clear empties the buffer. It keeps an array of up to keep bytes for further use.
func (b *leasedBuffer) clear(keep int) {
	if cap(b.bytes) <= keep {
		b.bytes = b.bytes[:0]
		return
	}
	b.lease.drop(cap(b.bytes))
	b.bytes = nil
}
