//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// playTimeout ends a play that takes too long.
const playTimeout = 112 * time.Second

var plays = map[string]func(*scene){"prompt-parts": promptParts, "long-ids": longIDs, "turns-at-once": turnsAtOnce, "stopped-bodies": stoppedBodies, "long-programs": longPrograms}

func main() {
	play := plays[os.Args[1]]
	if play == nil || os.Getenv("RECORD") == "" {
		fmt.Println("usage: RECORD=FILE review-scenes PLAY")
		os.Exit(2)
	}
	s := newScene("sohar", "barka")
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(playTimeout):
		}
		s.cannotRun("stopped, or out of time")
	}()
	defer func() {
		if v := recover(); v != nil {
			s.cannotRun("%v", v)
		}
	}()
	play(s)
}

// smallDeployment starts 14 engines, 3 plain replicas and a daemon in each of two zones.
func (s *scene) smallDeployment() {
	s.putConfig(smallConfig())
	for i := range 14 {
		x := s.newReplica("huvo11a", s.zones[i%2], true)
		x.events = 10
		x.start()
	}
	for i := range 3 {
		s.newReplica("wuno96b", s.zones[i%2], false).start()
	}
	for _, z := range s.zones {
		s.newDaemon(z).start()
	}
	for _, d := range s.daemons {
		d.waitReady()
	}
	time.Sleep(time.Second)
}

// promptParts: a crowd sends calls whose field Pimentorail-Prompt-Prefix names very many short parts.
func promptParts(s *scene) {
	const clients, fieldBytes = 30, 15000
	s.smallDeployment()
	s.quiet.Store(true)
	prefix := func() string { return "5c1e07a2:800,91bd3f06:410,e4402b7d:250" }
	if s.trouble {
		prefix = func() string {
			var b strings.Builder
			for b.Len() < fieldBytes-8 {
				fmt.Fprintf(&b, "%x:1,", 0x10000+rand.IntN(0xeffff))
			}
			return strings.TrimSuffix(b.String(), ",")
		}
	}
	sample := prefix()
	s.logf("crowd: %d clients at each daemon send GET /pule252/4b with a prefix of %d parts, %d bytes; max_header_bytes is 16384", clients, strings.Count(sample, ":"), len(sample))
	c := s.startCrowd(clients, func() request {
		return request{method: "GET", path: "/pule252/4b", header: map[string]string{"Pimentorail-Prompt-Prefix": prefix()}, deadline: time.Second, timeout: time.Second}
	})
	time.Sleep(2 * time.Second)
	o := &callers{scene: s}
	o.run(20*time.Second, charge, func() bool { return false })
	c.end()
	t := &o.tally
	broken := t.overdue >= 8 && 2*t.late > t.overdue
	s.verdict(broken, "CONFIG broken: %t; ordinary clients' requests: %v", broken, t)
}

// endsOfAll reports whether the processes of all machines ended three times, and logs it.
func endsOfAll(wardens []*warden) bool {
	all := true
	for _, w := range wardens {
		w.end()
		all = all && w.ends.Load() >= 3
	}
	return all
}

// playMemory lets a crowd send requests while the platform guards the memory of the machines, until each process
// has ended three times or the time is over.
func (s *scene) playMemory(lasts time.Duration, clients int, next func() request) {
	var wardens []*warden
	for _, d := range s.daemons {
		wardens = append(wardens, guard(d))
	}
	s.quiet.Store(true)
	c := s.startCrowd(clients, next)
	o := &callers{scene: s}
	o.run(lasts, charge, func() bool {
		return wardens[0].ends.Load() >= 3 && wardens[1].ends.Load() >= 3
	})
	broken := endsOfAll(wardens)
	c.end()
	s.verdict(broken, "Fault (processes end three times on all machines): %t; ended %d and %d times; ordinary clients' requests: %v", broken, wardens[0].ends.Load(), wardens[1].ends.Load(), &o.tally)
}

// longIDs: a crowd sends calls whose prompts have one part with a long id.
func longIDs(s *scene) {
	const clients = 30
	digits := 8
	if s.trouble {
		digits = 14000
	}
	s.smallDeployment()
	s.logf("crowd: %d clients at each daemon send GET /pule252/4b with one part whose id has %d hexadecimal digits; max_header_bytes is 16384", clients, digits)
	s.playMemory(90*time.Second, clients, func() request {
		return request{method: "GET", path: "/pule252/4b", header: map[string]string{"Pimentorail-Prompt-Prefix": hexText(digits) + ":800"}, deadline: time.Second, timeout: time.Second}
	})
}

// turnsAtOnce: a crowd begins programs at the same time, with inputs of a legal size.
func turnsAtOnce(s *scene) {
	const bytes = 35000
	clients := 30
	if s.trouble {
		clients = 1200
	}
	s.smallDeployment()
	s.logf("crowd: %d clients at each daemon begin programs with an input of %d bytes; max_body_bytes is 4194304", clients, bytes)
	body := []byte(strings.Repeat("f", bytes))
	s.playMemory(45*time.Second, clients, func() request {
		return request{method: "POST", path: "/pufi791/4b", body: body, deadline: 3 * time.Second, timeout: 3 * time.Second, header: map[string]string{
			"Pimentorail-Model": "m", "Pimentorail-Program-Id": hexText(14), "Pimentorail-Session-Id": hexText(14), "Pimentorail-Finish-Ms": "5200",
			"Pimentorail-Token-Budget": "4536", "Pimentorail-Token-Count": "29000,567", "Pimentorail-Prompt-Prefix": "5c1e07a2:12600," + hexText(8) + ":16400",
		}}
	})
}

// longPrograms: a crowd sends turns of programs with long ids, whose budgets don't cover the turn.
func longPrograms(s *scene) {
	const clients = 30
	digits := 14
	if s.trouble {
		digits = 14000
	}
	s.smallDeployment()
	s.logf("crowd: %d clients at each daemon send turns of programs whose ids have %d hexadecimal digits and whose budgets are spent; max_header_bytes is 16384", clients, digits)
	s.playMemory(90*time.Second, clients, func() request {
		return request{method: "POST", path: "/pufi791/4b", body: []byte("a turn"), deadline: 3 * time.Second, timeout: 3 * time.Second, header: map[string]string{
			"Pimentorail-Model": "m", "Pimentorail-Program-Id": hexText(digits), "Pimentorail-Token-Budget": "10", "Pimentorail-Token-Count": "1460,80",
		}}
	})
}
