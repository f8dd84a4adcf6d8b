package acceptor

import (
	"time"

	"k8s.io/klog/v2"
)

// reportPeriod is the minimum time between two reports of a listener on the same trouble.
const reportPeriod = 5 * time.Second

// Observer is told what delays a listener, at most once per period for each listener.
type Observer interface {
	// Waiting is told the passing error because of which a listener is not open.
	Waiting(purpose, address string, waited time.Duration, err error)
	// Opened is told that a listener is open that had to wait.
	Opened(purpose, address string, waited time.Duration)
	// AcceptFailed is told the newest error and the number of those since the last success.
	AcceptFailed(purpose, address string, failures int, err error)
	// Recovered is told of a success after errors that AcceptFailed was told of.
	Recovered(purpose, address string, failures int)
}

// KlogObserver writes the reports to klog, with a component of the daemon as prefix.
type KlogObserver string

// Waiting implements Observer.
func (k KlogObserver) Waiting(purpose, address string, waited time.Duration, err error) {
	klog.Warningf("%s: waiting for port, %s at %s, for %v: %v", string(k), purpose, address, waited, err)
}

// Opened implements Observer.
func (k KlogObserver) Opened(purpose, address string, waited time.Duration) {
	klog.Infof("%s: port opened, %s at %s, after %v.", string(k), purpose, address, waited)
}

// AcceptFailed implements Observer.
func (k KlogObserver) AcceptFailed(purpose, address string, failures int, err error) {
	klog.Warningf("%s: accept failed, %s at %s, %d in a row: %v", string(k), purpose, address, failures, err)
}

// Recovered implements Observer.
func (k KlogObserver) Recovered(purpose, address string, failures int) {
	klog.Infof("%s: accepting again, %s at %s, after %d failures.", string(k), purpose, address, failures)
}
