package attributor_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/attributor"
)

const logLines = `12:00:00.000 server: start name=a
12:00:01.000 forwarder: done id=1 program=p route=r attempts=1 ran=1 opened=5.0 first=25.0 took=125.0 left=900.0 passed=true tokens=3 parent="" history=0
12:00:01.500 forwarder: done id=2 program=p route="a = b" attempts=3 ran=1 opened=0.0 first=0.0 took=10.0 left=400.0 passed=true
  19.6 front-1 12:00:02.000 forwarder: done id=3 program=q route=r attempts=1 ran=1 opened=15.0 first=415.0 took=515.0 left=-20.0 passed=true tokens=3 parent=1 history=1
12:00:02.000 forwarder: refused id=4 program=q code=3001 why="program=x \"y\"" after=30.0 version=6
12:00:02.000 forwarder: done id=5 program="" took=10.0
`

func TestReportSplitsTimeByPhase(t *testing.T) {
	is := is.New(t)
	r, err := attributor.Read(strings.NewReader(logLines))
	is.NoErr(err)
	var b strings.Builder
	is.NoErr(r.Write(&b))
	got := map[string]string{}
	for _, l := range strings.Split(strings.TrimSpace(b.String()), "\n")[1:] {
		f := strings.Fields(l)
		got[strings.Join(f[:len(f)-2], " ")] = strings.Join(f[len(f)-2:], " ")
	}
	is.Equal(got, map[string]string{
		"programs": "1 1", "turns": "1.0 1.0", "calls": "1.0 0.0", "further attempts": "2.0 0.0", "failed requests": "0.0 1.0",
		"history and budget, ms": "5.0 15.0", "until the first event, ms": "20.0 400.0", "events and keeping, ms": "100.0 100.0",
		"calls of tools, ms": "10.0 0.0", "until refusals, ms": "0.0 30.0",
	})
}

func FuzzRead(f *testing.F) {
	f.Add(logLines)
	f.Fuzz(func(t *testing.T, text string) {
		if r, err := attributor.Read(strings.NewReader(text)); err == nil {
			is.New(t).NoErr(r.Write(&strings.Builder{}))
		}
	})
}
