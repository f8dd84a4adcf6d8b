package linker

import (
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

var errGreeting = errors.New("linker: peer does not know the secret")

// greet sends the digest of the secret.
func greet(c net.Conn, secret string) error {
	_ = c.SetWriteDeadline(time.Now().Add(helloTimeout))
	sum := sha256.Sum256([]byte(secret))
	if _, err := c.Write(sum[:]); err != nil {
		return errors.Wrap(err, "greet")
	}
	return c.SetWriteDeadline(time.Time{})
}

// admit checks the digest that a peer sends first.
func admit(c net.Conn, secret string) error {
	_ = c.SetReadDeadline(time.Now().Add(helloTimeout))
	want := sha256.Sum256([]byte(secret))
	var got [sha256.Size]byte
	if _, err := io.ReadFull(c, got[:]); err != nil {
		return errors.Wrap(err, "admit")
	}
	if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
		return errGreeting
	}
	return c.SetReadDeadline(time.Time{})
}
