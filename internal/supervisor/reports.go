package supervisor

import (
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// maxReports bounds the failures that are reported in one reportPeriod.
	maxReports   = 5
	reportPeriod = time.Second
)

// reports are the counts and observers of the process.
var reports registry

// registry passes failures to observers, at a bounded rate.
type registry struct {
	panics, restarts atomic.Int64

	mu        sync.Mutex
	observers map[*Observer]bool
	// periodBegan is the start of the current period, in which reported failures were reported.
	periodBegan time.Time
	reported    int
	unreported  int
}

// Observer receives the failures of the process until it is closed.
type Observer struct{ observe func(Failure) }

// Observe calls a function with the failures of the process, from the goroutines that failed.
// While there is no observer, failures go to the standard log.
func Observe(f func(Failure)) *Observer {
	o := &Observer{observe: f}
	reports.mu.Lock()
	defer reports.mu.Unlock()
	if reports.observers == nil {
		reports.observers = map[*Observer]bool{}
	}
	reports.observers[o] = true
	return o
}

// Close ends the calls to the observer.
func (o *Observer) Close() {
	reports.mu.Lock()
	defer reports.mu.Unlock()
	delete(reports.observers, o)
}

// Panics returns the number of panics since the start of the process.
func Panics() int64 { return reports.panics.Load() }

// Restarts returns the number of loops that were started again since the start of the process.
func Restarts() int64 { return reports.restarts.Load() }

// Report reports the value of a panic that the caller recovered from, and returns an error that
// stands for it.
func Report(name string, value any) error {
	reports.panics.Add(1)
	err := &PanicError{value: value}
	reports.report(Failure{name: name, err: err, stack: stack()})
	return err
}

// ReportError reports an error that nobody else handles.
func ReportError(name string, err error) { reports.report(Failure{name: name, err: err}) }

// report passes a failure to the observers unless there were too many.
func (r *registry) report(f Failure) {
	list, ok := r.admit(&f, time.Now())
	if !ok {
		return
	}
	for _, o := range list {
		o.notify(f)
	}
	if len(list) == 0 {
		klog.Errorf("supervisor: %s failed: %v (%d not reported before) %s", f.name, f.err, f.unreported, f.stack)
	}
}

// admit returns the observers of a failure, and false if it is not to be reported.
func (r *registry) admit(f *Failure, now time.Time) ([]*Observer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if age := now.Sub(r.periodBegan); age < 0 || age >= reportPeriod {
		r.periodBegan, r.reported = now, 0
	}
	if r.reported >= maxReports {
		r.unreported++
		return nil, false
	}
	r.reported++
	f.unreported, r.unreported = r.unreported, 0
	list := make([]*Observer, 0, len(r.observers))
	for o := range r.observers {
		list = append(list, o)
	}
	return list, true
}

// notify calls the observer, whose own panic must not end the process either.
func (o *Observer) notify(f Failure) {
	defer func() {
		if v := recover(); v != nil {
			klog.Errorf("supervisor: observer of %s failed: %v", f.name, v)
		}
	}()
	o.observe(f)
}
