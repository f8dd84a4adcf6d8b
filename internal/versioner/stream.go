package versioner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

const (
	// partitions is the number of partitions of the store that the rows have for themselves.
	partitions = 16
	// slots is the number of rows. A stream is resumed within seconds, so that few of those
	// that begin meanwhile share its row, at thousands of streams a second.
	slots = 1 << 20
)

// Stream identifies a stream: who began it, and the id of the request that did.
type Stream struct {
	// Caller and Hostname keep the streams of accounts apart, since callers choose their ids.
	Caller, Hostname string
	RequestID        string
}

// digest is a hash of a Stream.
type digest [sha256.Size]byte

func (s Stream) digest() digest {
	return sha256.Sum256([]byte(fmt.Sprintf("%q %q %q", s.Caller, s.Hostname, s.RequestID)))
}

// slot returns the number of the row.
func (d digest) slot() int { return int(binary.BigEndian.Uint32(d[:]) % slots) }

// partition returns the number of the row's partition.
func (d digest) partition() int { return d.slot() % partitions }

// key returns the key of the row.
func (d digest) key() string { return fmt.Sprintf("streams/streams-%x/%05x", d.partition(), d.slot()) }

// name returns the digest as it is stored in the row. The row's key has the first bytes.
func (d digest) name() string { return hex.EncodeToString(d[4:20]) }
