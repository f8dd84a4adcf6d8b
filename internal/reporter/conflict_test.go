package reporter_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/reporter"
)

// Two metrics of one name with other labels ended the process when the second was first used.
func TestConflictingMetricsEndNoProcess(t *testing.T) {
	is := is.New(t)
	r := reporter.New(10 * time.Millisecond)
	defer r.Close()
	s := r.Scope()
	s.Counter("faults").Inc(1)
	s.Tagged(map[string]string{"code": "3006"}).Counter("faults").Inc(1)
	s.Tagged(map[string]string{"code": "3006"}).Gauge("faults").Update(1)
	s.Tagged(map[string]string{"kind": "safe"}).Timer("faults").Record(time.Second)
	for body := ""; !strings.Contains(body, "pimentorail_faults 1"); time.Sleep(10 * time.Millisecond) {
		w := httptest.NewRecorder()
		r.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		is.Equal(w.Code, http.StatusOK)
		body = w.Body.String()
	}
}
