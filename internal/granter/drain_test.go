package granter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// turns opens and closes turns of one program.
type turns struct {
	daemon  *daemon
	program string
	group   *sync.WaitGroup
}

func (x *turns) run() {
	defer x.group.Done()
	for n := range 200 {
		t := newTurn(fmt.Sprint(x.program, "-", n), "", 1<<30)
		t.Program = x.program
		if g, err := x.daemon.granter.Open(context.Background(), t); err == nil {
			g.Close(1)
		}
	}
}

// A planned stop waits for calls that close grants while requests in progress begin others. The
// sync.WaitGroup that counted them panics if it is used like this, which ended the process.
func TestDrainWhileTurnsClose(t *testing.T) {
	is := is.New(t)
	z := newZone(2, 0, rand.New(rand.NewPCG(1, 1)))
	defer func() {
		for _, d := range z.daemons {
			d.cancel()
		}
	}()
	var group sync.WaitGroup
	for n := range 8 {
		group.Add(1)
		go (&turns{daemon: z.daemons[0], program: fmt.Sprint("p", n), group: &group}).run()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 300 {
		z.daemons[0].granter.Drain(ctx)
		time.Sleep(100 * time.Microsecond)
	}
	group.Wait()
	z.daemons[0].granter.Drain(ctx)
	is.NoErr(ctx.Err())
}
