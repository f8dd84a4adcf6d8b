package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/pkg/classifier"
)

// stopRetryAfter is the time after which a client that a stopping daemon refused should
// retry. Another daemon takes the request at once.
const stopRetryAfter = 20 * time.Millisecond

// answerMargin is the time from the deadline of a request until its client has the answer,
// on a VM that is short of processor time.
const answerMargin = 300 * time.Millisecond

// lastAnswerMargin is the time before the end of the daemon at which requests without a
// response are answered. Only the answers are to be written then.
const lastAnswerMargin = 150 * time.Millisecond

// errStopping is why a request ends that a replica still runs when the daemon ends.
var errStopping = errors.New("the daemon ends before its replica has answered")

// shutdown is the schedule of a planned stop.
type shutdown struct {
	// acceptUntil is when the balancer and the clients have had time to leave, and endsAt
	// when requests in progress are cut off.
	acceptUntil, endsAt time.Time
}

// admits reports whether a request that arrives now is taken. After acceptUntil it is taken
// only if it ends in time, whatever the replica does.
func (s *shutdown) admits(now, deadline time.Time) bool {
	return s == nil || now.Before(s.acceptUntil) || !deadline.Add(answerMargin).After(s.endsAt)
}

// answersAt is when requests that have no response are answered.
func (s *shutdown) answersAt() time.Time { return s.endsAt.Add(-lastAnswerMargin) }

// stages are the parts of a planned stop that requests in progress wait for.
type stages struct {
	// starts ends when requests are sent to replicas no longer that might not be answered
	// before the daemon ends, and answers when those without a response are answered.
	starts, answers       context.Context
	endStarts, endAnswers context.CancelFunc
}

func newStages() (s stages) {
	s.starts, s.endStarts = context.WithCancel(context.Background())
	s.answers, s.endAnswers = context.WithCancel(context.Background())
	return s
}

// Shutdown begins a planned stop: from acceptUntil on, requests that might not be answered
// before endsAt are refused and not sent to a replica, so that none is cut off that was taken
// late. Those that replicas still run shortly before endsAt, without a response, are answered.
func (f *Forwarder) Shutdown(acceptUntil, endsAt time.Time) {
	s := &shutdown{acceptUntil: acceptUntil, endsAt: endsAt}
	f.shutdown.Store(s)
	time.AfterFunc(time.Until(acceptUntil), f.stages.endStarts)
	time.AfterFunc(time.Until(s.answersAt()), f.stages.endAnswers)
}

// endBeforeDaemon returns a context that ends with errStopping if the request has no response
// shortly before the end of a planned stop. Its client learns then that the request may have
// run, while a response that has begun may still be completed.
func (f *Forwarder) endBeforeDaemon(ctx context.Context, j *job) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	j.keepToEnd = context.AfterFunc(f.stages.answers, func() { cancel(errStopping) })
	return ctx, func() {
		j.keepToEnd()
		cancel(nil)
	}
}

// endBeforeStart returns a context for the waits of a request that was not sent yet. It ends
// when the request may be sent no longer, since another daemon takes it at once.
func (f *Forwarder) endBeforeStart(ctx context.Context, j *job) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(f.stages.starts, func() {
		if f.refuseWhenStopping(j) != nil {
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// refuseLateStart is refuseWhenStopping for a request that is about to be sent. One that may
// have run is not refused as not run, and is repeated while there is time.
func (f *Forwarder) refuseLateStart(j *job) *classifier.Fault {
	if j.possibleRuns > 0 {
		return nil
	}
	return f.refuseWhenStopping(j)
}

// closeWhenStopping tells the client in a response of a planned stop that its connection is
// closed afterwards. The request may have come before the stop.
func (f *Forwarder) closeWhenStopping(h http.Header) {
	if f.shutdown.Load() != nil {
		h.Set("Connection", "close")
	}
}

// refuseWhenStopping returns a fault for a request that a planned stop would cut off.
func (f *Forwarder) refuseWhenStopping(j *job) *classifier.Fault {
	s := f.shutdown.Load()
	if s.admits(time.Now(), j.deadline) {
		return nil
	}
	return classifier.New(classifier.Stopping, classifier.RanNo, "the daemon ends in %v, before the deadline of the request in %v",
		time.Until(s.endsAt).Round(time.Millisecond), time.Until(j.deadline).Round(time.Millisecond)).After(stopRetryAfter)
}
