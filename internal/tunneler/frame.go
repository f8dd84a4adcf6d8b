package tunneler

import (
	"encoding/binary"
	"io"
)

const (
	// headBytes is the size of a frame's head, the length of its data.
	headBytes = 2
	// maxFrame is the largest length of data.
	maxFrame = 8 << 10
	// endFrame is the head of the last frame, after the replica has closed its connection.
	endFrame = 0
	// leavingFrame is a head without data: the peer stops soon.
	leavingFrame = 0xffff
)

// appendHead appends the head of a frame to b.
func appendHead(b []byte, length int) []byte { return binary.BigEndian.AppendUint16(b, uint16(length)) }

// readHead reads the head of a frame.
func readHead(r io.Reader) (int, error) {
	var b [headBytes]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return 0, err
	}
	return int(binary.BigEndian.Uint16(b[:])), nil
}
