package forwarder_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestKeysWithoutAccountsStay guards against other keys of rows, and other marks, in a deployment
// whose configuration names no accounts. They are those of the build before accounts.
func TestKeysWithoutAccountsStay(t *testing.T) {
	is := is.New(t)
	f := newVersionedFixture(t, "v1")
	f.sendAs(t.Context(), "s1", "POST", "/stream/", "x", "Caller", "Bearer somebody", "Authorization", "Bearer somebody")
	time.Sleep(recordTime)
	streams := f.keys("streams/")

	f = newFixture(t, streamEvents(true)).applyRoutes()
	for _, id := range []string{"t1", "a/b#c:1", strings.Repeat("x", 151)} {
		is.Equal(f.sendAs(t.Context(), id, "POST", "/turn/", "in", "Budget", "1000", "Authorization", "Bearer somebody").status, 200)
	}
	keys := slices.Concat(streams, f.keys("turns/"), f.keys("budgets/"))

	f = newFixture(t).applyRoutes()
	f.startCrashing(3, &crashes{})
	f.sendAs(t.Context(), "c1", "POST", "/unsafe/", crashingBody, "Body", crashingBody, "Caller", "Bearer somebody", "Authorization", "Bearer somebody")
	time.Sleep(recordTime)
	rows, err := f.store.Scan(t.Context(), "crashes/", "", 10)
	is.NoErr(err)
	for _, r := range rows {
		_, marks, _ := strings.Cut(string(r.Value), `"suspects"`)
		marks, _, _ = strings.Cut(marks, `,"served"`)
		keys = append(keys, marks)
	}
	is.Equal(strings.Join(keys, "\n"), strings.Join([]string{
		"streams/streams-e/fe55e",
		"turns/23/8eb827e6964db1e28caafb07b408d441efc804c8da30e3bad83a70dd3566a88b",
		"turns/30/t1",
		"turns/64/a/b#c:1",
		"budgets/ef/p",
		`:[{"whole":"04ddbcb57fbc000de53b89837e044c7b","start":"04ddbcb57fbc000de53b89837e044c7b","prefixes":"0m2XcPsEy3kAAQ"}]`,
	}, "\n"))
}
