package emulator

import "net"

// FreeAddress returns a loopback address (host:port) on which nothing listens.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}
