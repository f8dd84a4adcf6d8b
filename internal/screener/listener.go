package screener

import "net"

// listener screens the connections of a listener.
type listener struct {
	net.Listener
	screener *Screener
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.screener.admit(n); c != nil {
			return c, nil
		}
		_ = n.Close()
	}
}
