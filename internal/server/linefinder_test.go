package server_test

import "strings"

const (
	listeningLine = "server: listening"
	waitingLine   = "server: waiting for port"
)

// lineFinder is the output of a daemon. It finds the first line that says that the daemon
// listens, or that it waits for a port.
type lineFinder struct{ found chan string }

// Write implements io.Writer.
func (f *lineFinder) Write(p []byte) (int, error) {
	for line := range strings.Lines(string(p)) {
		if strings.Contains(line, listeningLine) || strings.Contains(line, waitingLine) {
			select {
			case f.found <- strings.TrimSpace(line):
			default: // A later line.
			}
		}
	}
	return len(p), nil
}
