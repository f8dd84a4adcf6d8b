package messenger

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

var errWrongSecret = errors.New("messenger: peer sent a wrong secret")

// rpcKind is the kind of the connections that carry RPC; the others are streams.
const rpcKind = ""

// digestOf returns what a peer sends first on a connection of a kind.
func digestOf(secret, kind string) [sha256.Size]byte {
	if kind == rpcKind {
		return sha256.Sum256([]byte(secret))
	}
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(kind))
	return [sha256.Size]byte(mac.Sum(nil))
}

// sendSecret sends the digest of the secret and the kind, the first bytes on a connection.
func sendSecret(c net.Conn, secret, kind string) error {
	_ = c.SetWriteDeadline(time.Now().Add(handshakeTimeout))
	sum := digestOf(secret, kind)
	if _, err := c.Write(sum[:]); err != nil {
		return errors.Wrap(err, "greet")
	}
	return c.SetWriteDeadline(time.Time{})
}

// checkSecret reads the digest that a peer sends first and returns which of the kinds it is.
func checkSecret(c net.Conn, secret string, kinds []string) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(handshakeTimeout))
	var received [sha256.Size]byte
	if _, err := io.ReadFull(c, received[:]); err != nil {
		return "", errors.Wrap(err, "admit")
	}
	for _, kind := range kinds {
		expected := digestOf(secret, kind)
		if subtle.ConstantTimeCompare(received[:], expected[:]) == 1 {
			return kind, c.SetReadDeadline(time.Time{})
		}
	}
	return "", errWrongSecret
}
