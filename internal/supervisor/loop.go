package supervisor

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
)

const (
	// minBackoff and maxBackoff bound the time until a loop is started again, before jitter.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
	// steadyAfter is how long a loop must have run for its next backoff to be minBackoff.
	steadyAfter = 30 * time.Second
)

// loop runs a duty again and again until it ends by itself or its tomb dies.
type loop struct {
	tomb    *tomb.Tomb
	name    string
	duty    func() error
	backoff time.Duration
}

// Loop returns a function for Tomb.Go that runs a duty until it returns nil or the tomb dies.
// After a panic or an error it starts the duty again, with backoff; neither kills the tomb.
func Loop(t *tomb.Tomb, name string, duty func() error) func() error {
	return (&loop{tomb: t, name: name, duty: duty}).run
}

// Task returns a function for Tomb.Go that runs once; neither a panic nor an error kills the
// tomb.
func Task(name string, f func() error) func() error {
	return (&task{name: name, duty: f}).run
}

// task runs a duty once.
type task struct {
	name string
	duty func() error
}

func (t *task) run() error {
	reportError(t.name, Do(t.name, t.duty))
	return nil
}

func (l *loop) run() error {
	for {
		began := time.Now()
		err := Do(l.name, l.duty)
		var p *PanicError
		panicked := errors.As(err, &p)
		switch {
		case err == nil:
			return nil
		case !l.tomb.Alive() && panicked:
			return nil // It is reported, and the duty ends anyway.
		case !l.tomb.Alive():
			return err
		}
		reportError(l.name, err)
		if !l.wait(time.Since(began)) {
			return nil
		}
		reports.restarts.Add(1)
	}
}

// wait waits before the next start. It returns false once the tomb dies.
func (l *loop) wait(ran time.Duration) bool {
	if l.backoff = min(2*l.backoff, maxBackoff); ran >= steadyAfter || l.backoff == 0 {
		l.backoff = minBackoff
	}
	select {
	case <-time.After(l.backoff/2 + rand.N(l.backoff)):
		return true
	case <-l.tomb.Dying():
		return false
	}
}

// reportError reports the error of a duty. That of a panic is reported already.
func reportError(name string, err error) {
	var p *PanicError
	if err != nil && !errors.As(err, &p) {
		ReportError(name, err)
	}
}
