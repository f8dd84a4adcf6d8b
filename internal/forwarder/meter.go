package forwarder

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/versioner"
	"pimentorail.example/pimentorail/pkg/classifier"
)

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 11)

// meter records the metrics of requests: latencies by kind, attempts by result and faults
// by code.
type meter struct {
	scope                   tally.Scope
	firstByte, fullResponse [3]tally.Histogram
	attempts                [len(resultNames)]tally.Counter
}

func newMeter(scope tally.Scope) *meter {
	m := &meter{scope: scope}
	for kind, name := range map[cataloger.Kind]string{cataloger.Safe: "safe", cataloger.Unsafe: "unsafe", cataloger.Streaming: "streaming"} {
		s := scope.Tagged(map[string]string{"kind": name})
		m.firstByte[kind] = s.Histogram("first-byte", latencyBuckets)
		m.fullResponse[kind] = s.Histogram("whole-answer", latencyBuckets)
	}
	for r, name := range resultNames {
		m.attempts[r] = scope.Tagged(map[string]string{"result": name}).Counter("attempts")
	}
	return m
}

func (m *meter) recordLatencies(kind cataloger.Kind, first, full time.Duration) {
	if first > 0 {
		m.firstByte[kind].RecordDuration(first)
	}
	m.fullResponse[kind].RecordDuration(full)
}

func (m *meter) countFault(code classifier.Code) {
	m.scope.Tagged(map[string]string{"code": strconv.Itoa(int(code))}).Counter("faults").Inc(1)
}

// countResumption counts a request that resumes a stream, and whether it was refused.
func (m *meter) countResumption(admitted bool) {
	m.scope.Tagged(map[string]string{"admitted": strconv.FormatBool(admitted)}).Counter("resumptions").Inc(1)
}

// countOrigin counts the origin of a stream that a client resumes, and whether it was settled.
func (m *meter) countOrigin(e versioner.Evidence, settled bool) {
	if e == versioner.Proven {
		e = "proven"
	}
	m.scope.Tagged(map[string]string{"evidence": string(e), "settled": strconv.FormatBool(settled)}).Counter("stream-origins").Inc(1)
}

func (m *meter) countAttempt(r result) { m.attempts[r].Inc(1) }

// countWithoutMemory counts an attempt that failed because its response could not be held.
func (m *meter) countWithoutMemory() { m.scope.Counter("responses-without-memory").Inc(1) }
