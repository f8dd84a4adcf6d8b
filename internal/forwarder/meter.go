package forwarder

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/pkg/classifier"
)

var latencies = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 11)

// meter counts requests by how they ended.
type meter struct {
	scope        tally.Scope
	first, whole [3]tally.Histogram
	attempts     [len(resultNames)]tally.Counter
}

func newMeter(scope tally.Scope) *meter {
	m := &meter{scope: scope}
	for kind, name := range map[cataloger.Kind]string{cataloger.Safe: "safe", cataloger.Unsafe: "unsafe", cataloger.Streaming: "streaming"} {
		s := scope.Tagged(map[string]string{"kind": name})
		m.first[kind] = s.Histogram("first-byte", latencies)
		m.whole[kind] = s.Histogram("whole-answer", latencies)
	}
	for how, name := range resultNames {
		m.attempts[how] = scope.Tagged(map[string]string{"result": name}).Counter("attempts")
	}
	return m
}

func (m *meter) done(kind cataloger.Kind, first, whole time.Duration) {
	if first > 0 {
		m.first[kind].RecordDuration(first)
	}
	m.whole[kind].RecordDuration(whole)
}

func (m *meter) refused(code classifier.Code) {
	m.scope.Tagged(map[string]string{"code": strconv.Itoa(int(code))}).Counter("faults").Inc(1)
}

func (m *meter) attempt(how result) { m.attempts[how].Inc(1) }
