package server

import (
	"time"

	"pimentorail.example/pimentorail/internal/logger"
)

// listenLog logs what delays the daemon's listeners. It implements acceptor.Observer.
type listenLog struct{ logger *logger.Logger }

// Waiting implements acceptor.Observer.
func (l listenLog) Waiting(purpose, address string, waited time.Duration, err error) {
	l.logger.Event("server", "waiting for port").Str("for", purpose).Str("address", address).Dur("waited", waited).Err(err).End()
}

// Opened implements acceptor.Observer.
func (l listenLog) Opened(purpose, address string, waited time.Duration) {
	l.logger.Event("server", "port opened").Str("for", purpose).Str("address", address).Dur("waited", waited).End()
}

// AcceptFailed implements acceptor.Observer.
func (l listenLog) AcceptFailed(purpose, address string, failures int, err error) {
	l.logger.Event("server", "accept failed").Str("for", purpose).Str("address", address).Int("failures", failures).Err(err).End()
}

// Recovered implements acceptor.Observer.
func (l listenLog) Recovered(purpose, address string, failures int) {
	l.logger.Event("server", "accepting again").Str("for", purpose).Str("address", address).Int("failures", failures).End()
}
