package messenger

import (
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

var errWrongSecret = errors.New("messenger: peer sent a wrong secret")

// sendSecret sends the digest of the secret, the first bytes on a connection.
func sendSecret(c net.Conn, secret string) error {
	_ = c.SetWriteDeadline(time.Now().Add(handshakeTimeout))
	sum := sha256.Sum256([]byte(secret))
	if _, err := c.Write(sum[:]); err != nil {
		return errors.Wrap(err, "greet")
	}
	return c.SetWriteDeadline(time.Time{})
}

// checkSecret reads the digest that a peer sends first and compares it with the secret's.
func checkSecret(c net.Conn, secret string) error {
	_ = c.SetReadDeadline(time.Now().Add(handshakeTimeout))
	expected := sha256.Sum256([]byte(secret))
	var received [sha256.Size]byte
	if _, err := io.ReadFull(c, received[:]); err != nil {
		return errors.Wrap(err, "admit")
	}
	if subtle.ConstantTimeCompare(received[:], expected[:]) != 1 {
		return errWrongSecret
	}
	return c.SetReadDeadline(time.Time{})
}
