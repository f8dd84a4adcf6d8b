package server

import (
	"bytes"
	"os"
	"runtime"
	"runtime/metrics"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"pimentorail.example/pimentorail/internal/logger"
)

const heapMetric = "/memory/classes/heap/objects:bytes"

// processStartedAt is when this process began, to within the start of the runtime.
var processStartedAt = time.Now()

// usage is what the process uses of its VM. It is negative where it is unknown because
// /proc can't be read.
type usage struct {
	residentBytes, openFiles int
	heapBytes, goroutines    int
	uptime                   time.Duration
}

// readUsage reads two files of /proc, so it is not to be called often.
func readUsage() usage {
	heap := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(heap)
	u := usage{
		residentBytes: readResidentBytes(), openFiles: countOpenFiles(),
		goroutines: runtime.NumGoroutine(), uptime: time.Since(processStartedAt),
	}
	if heap[0].Value.Kind() == metrics.KindUint64 {
		u.heapBytes = int(heap[0].Value.Uint64())
	}
	return u
}

// readResidentBytes returns the resident memory, the second field of statm in pages.
func readResidentBytes() int {
	data, err := os.ReadFile("/proc/self/statm")
	if f := bytes.Fields(data); err == nil && len(f) > 1 {
		if pages, err := strconv.Atoi(string(f[1])); err == nil {
			return pages * os.Getpagesize()
		}
	}
	return -1
}

func countOpenFiles() int {
	f, err := os.Open("/proc/self/fd")
	if err != nil {
		return -1
	}
	defer f.Close()
	names, err := f.Readdirnames(-1)
	if err != nil {
		return -1
	}
	return len(names) - 1 // Without f itself.
}

// update sets the gauges of the process.
func (u usage) update(s tally.Scope) {
	if u.residentBytes >= 0 {
		s.Gauge("process-resident-bytes").Update(float64(u.residentBytes))
	}
	if u.openFiles >= 0 {
		s.Gauge("process-open-files").Update(float64(u.openFiles))
	}
	s.Gauge("process-heap-bytes").Update(float64(u.heapBytes))
	s.Gauge("process-goroutines").Update(float64(u.goroutines))
	s.Gauge("process-uptime-seconds").Update(u.uptime.Seconds())
}

// appendTo adds the fields of the process to a log line.
func (u usage) appendTo(l *logger.Line) *logger.Line {
	if u.residentBytes >= 0 {
		l.Int("resident-bytes", u.residentBytes)
	}
	if u.openFiles >= 0 {
		l.Int("open-files", u.openFiles)
	}
	return l.Int("heap-bytes", u.heapBytes).Int("goroutines", u.goroutines).Dur("uptime", u.uptime)
}
