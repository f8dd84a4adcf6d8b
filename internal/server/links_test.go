package server_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// linkPeriod is the mean time between two changes of links, and settledAfter how long
	// after the last one all requests must be served.
	linkPeriod   = 150 * time.Millisecond
	settledAfter = 3 * time.Second
	linkRun      = 6 * time.Second
)

// runs counts how often replicas ran each request.
type runs struct {
	mu    sync.Mutex
	byID  map[string]int
	twice []string
}

func (r *runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID[id]++; id != "" && r.byID[id] > 1 {
		r.twice = append(r.twice, id)
	}
}

// of returns how often a request ran.
func (r *runs) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// linkClient sends requests that must not be repeated to one daemon, one after the other.
type linkClient struct {
	zone   *strandedZone
	daemon int
	runs   *runs
	done   *sync.WaitGroup
	until  time.Time

	mu      sync.Mutex
	refused []string
}

func (c *linkClient) run() {
	defer c.done.Done()
	for i := 0; time.Now().Before(c.until); i++ {
		id := fmt.Sprintf("%d-%d", c.daemon, i)
		if status := c.send(id); status == http.StatusServiceUnavailable {
			c.mu.Lock()
			c.refused = append(c.refused, id)
			c.mu.Unlock()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (c *linkClient) send(id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.zone.daemons[c.daemon].front+"/", nil)
	if err != nil {
		c.zone.t.Error(err)
		return 0
	}
	q.Header.Set("Id", id)
	q.Header.Set("Patience", "1s")
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	if body, err := io.ReadAll(r.Body); err == nil && r.StatusCode == http.StatusOK && string(body) != "ran "+id {
		c.zone.t.Errorf("%s got the response %q", id, body)
	}
	return r.StatusCode
}

// changeLinks cuts and restores links at random: those of a daemon to all replicas, or one.
func (z *strandedZone) changeLinks(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(random.Int64N(int64(2 * linkPeriod))))
		links := z.links[random.IntN(len(z.links))]
		if random.IntN(3) == 0 {
			links = links[:1+random.IntN(len(links))]
		}
		restore := random.IntN(2) == 0
		for _, l := range links {
			if restore {
				l.restore(z.t)
			} else {
				l.cut(z.t, refused)
			}
		}
	}
}

// Requests that must not be repeated ran twice, were refused as not run though they had run, or
// got another request's response, while links were cut and healed; or links that were sound
// again were not used.
func TestLinksFailAtRandom(t *testing.T) {
	seeds := 1
	if n, err := strconv.Atoi(os.Getenv("LINK_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			failLinks(t, uint64(seed+1))
		})
	}
}

func failLinks(t *testing.T, seed uint64) {
	is := is.New(t)
	r := &runs{byID: map[string]int{}}
	z := newStrandedZoneWith(t, 3, 3, func(string) *replica {
		return &replica{Server: httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			r.add(q.Header.Get("Id"))
			time.Sleep(2 * time.Millisecond)
			w.Header().Set("Id", q.Header.Get("Id"))
			_, _ = io.WriteString(w, "ran "+q.Header.Get("Id"))
		}))}
	})
	z.waitForPeers()
	var done sync.WaitGroup
	var clients []*linkClient
	until := time.Now().Add(linkRun)
	for i := range z.daemons {
		c := &linkClient{zone: z, daemon: i, runs: r, done: &done, until: until}
		clients = append(clients, c)
		done.Add(1)
		go c.run()
	}
	z.changeLinks(rand.New(rand.NewPCG(seed, 1)), until)
	done.Wait()
	// One daemon stays cut off, and the others are whole.
	for i, links := range z.links {
		for _, l := range links {
			if i == 0 {
				l.cut(t, refused)
			} else {
				l.restore(t)
			}
		}
	}
	time.Sleep(settledAfter)
	for i := range z.daemons {
		is.Equal(z.served(i, 10), 10)
	}
	is.Equal(len(r.twice), 0)
	for _, c := range clients {
		for _, id := range c.refused {
			is.Equal(r.of(id), 0) // It was said not to have run.
		}
	}
}
