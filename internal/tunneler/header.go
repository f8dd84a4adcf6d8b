package tunneler

import (
	"bufio"
	"encoding/json"
	"io"
	"net"

	"github.com/pkg/errors"
)

// StreamKind is the kind of the connections between daemons that carry tunnels.
const StreamKind = "tunnel"

// maxHeaderBytes bounds the header of a tunnel.
const maxHeaderBytes = 1 << 10

// header is the first line on a tunnel: which replica the peer is to dial.
type header struct {
	// ID identifies the tunnel in the logs of both daemons.
	ID string `json:"id"`
	// Replica and StartedMS identify the instance. Its address may differ between daemons.
	Replica   string `json:"replica"`
	StartedMS int64  `json:"started-ms"`
}

func (h header) write(w io.Writer) error {
	line, err := json.Marshal(h)
	if err != nil {
		return errors.Wrap(err, "encode header of a tunnel")
	}
	_, err = w.Write(append(line, '\n'))
	return errors.Wrap(err, "write header of a tunnel")
}

// readHeader reads the header. It leaves what follows in the reader.
func readHeader(r *bufio.Reader) (header, error) {
	var h header
	line, err := r.ReadSlice('\n')
	if err != nil {
		return h, errors.Wrap(err, "read header of a tunnel")
	}
	return h, errors.Wrap(json.Unmarshal(line, &h), "decode header of a tunnel")
}

// status is a peer's reply to a header.
type status byte

const (
	// connected means that the tunnel leads to the replica.
	connected status = iota + 1
	// refused means that no process listens at the replica's address.
	refused
	// unreached means that the replica did not answer in time.
	unreached
	// cutOff means that the peer does not reach the replica itself because its link is cut.
	cutOff
	// unknown means that the peer does not know the replica.
	unknown
	// busy means that the peer is stopping or has too many tunnels.
	busy
)

var statusNames = [...]string{connected: "connected", refused: "refused", unreached: "unreached", cutOff: "cut-off", unknown: "unknown", busy: "busy"}

// isValid reports whether peers give the status.
func (s status) isValid() bool { return int(s) < len(statusNames) && statusNames[s] != "" }

// String returns the name used in logs and errors.
func (s status) String() string {
	if !s.isValid() {
		return "invalid"
	}
	return statusNames[s]
}

// readStatus reads the status. Any other byte is no answer of a peer: another process may listen
// at the address of one that has ended.
func readStatus(c net.Conn) (status, error) {
	var b [1]byte
	if _, err := io.ReadFull(c, b[:]); err != nil {
		return 0, errors.Wrap(err, "read status of a tunnel")
	}
	s := status(b[0])
	if !s.isValid() {
		return s, errors.Errorf("status %d of a tunnel is invalid", b[0])
	}
	return s, nil
}
