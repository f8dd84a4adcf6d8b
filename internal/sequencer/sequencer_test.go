package sequencer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/journaler"
	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/seeder"
	"pimentorail.example/pimentorail/internal/sequencer"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

// ownership is a fake sequencer.Ownership that owns the only partition until lost is set.
type ownership struct {
	fence leaser.Fence
	lost  atomic.Bool
}

func (o *ownership) Owns(int) (leaser.Fence, bool) { return o.fence, !o.lost.Load() }
func (o *ownership) Assigned(int) bool             { return !o.lost.Load() }
func (o *ownership) Partitions() int               { return 1 }

// daemon is an owner with its own journal.
type daemon struct {
	*sequencer.Owner
	ownership *ownership
	journal   *journaler.Journaler
	cancel    context.CancelFunc
}

var sessions int

// startDaemon starts a daemon that takes over the partition from any earlier daemon.
func startDaemon(s *emulator.Store) *daemon { return startDaemonWithLimit(s, 0) }

// startDaemonWithLimit is startDaemon with a limit on the histories in memory.
func startDaemonWithLimit(s *emulator.Store, maxBytes int) *daemon {
	ctx, cancel := context.WithCancel(context.Background())
	row, _ := s.Get(ctx, leaser.PartitionKey(0))
	v, err := s.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []storer.Write{{Key: row.Key, Value: []byte(`{}`)}},
	})
	if err != nil {
		panic(err)
	}
	sessions++
	d := &daemon{ownership: &ownership{fence: leaser.Fence{Version: v}}, cancel: cancel}
	d.journal = journaler.New(journaler.Options{Table: s, Session: fmt.Sprint(sessions)})
	d.Owner = sequencer.New(sequencer.Options{Ownership: d.ownership, Journal: d.journal, Table: s, Objects: s, MaxBytes: maxBytes})
	d.journal.Start(ctx)
	d.Start(ctx)
	return d
}

func (d *daemon) close() {
	d.cancel()
	_ = d.journal.Wait()
	_ = d.Wait()
}

var programName = sequencer.Name{Account: "kamalig", ID: "lot-1"}

func userMessage(text string) json.RawMessage {
	data, _ := json.Marshal(map[string]string{"role": "user", "content": text})
	return data
}

func (d *daemon) create(budget int) *classifier.Fault {
	var r sequencer.ViewReply
	d.Create(context.Background(), &sequencer.CreateRequest{Name: programName, Budget: budget}, &r)
	return r.Fault
}

func (d *daemon) beginModelCall(number int, attempt, text string, maxTokens int) sequencer.BeginReply {
	var r sequencer.BeginReply
	d.Begin(context.Background(), &sequencer.BeginRequest{
		Name: programName, Number: number, Kind: sequencer.ModelCall, Repeatable: true, Hash: text[:min(len(text), 32)],
		Messages: []json.RawMessage{userMessage(text)}, MaxTokens: maxTokens, Attempt: attempt,
	}, &r)
	return r
}

func (d *daemon) beginServiceCall(number int, attempt, key, body string) sequencer.BeginReply {
	var r sequencer.BeginReply
	d.Begin(context.Background(), &sequencer.BeginRequest{
		Name: programName, Number: number, Key: key, Kind: sequencer.ServiceCall, Target: "ledger", Hash: body, Attempt: attempt,
	}, &r)
	return r
}

func (d *daemon) finish(k sequencer.Ticket, out sequencer.Outcome) sequencer.FinishReply {
	var r sequencer.FinishReply
	d.Finish(context.Background(), &sequencer.FinishRequest{Ticket: k, Outcome: out}, &r)
	return r
}

func (d *daemon) view() sequencer.View {
	var r sequencer.ViewReply
	d.Read(context.Background(), &sequencer.ReadRequest{Name: programName, History: true}, &r)
	return r.View
}

func completed(text string, prompt, completion int) sequencer.Outcome {
	return sequencer.Outcome{Ran: classifier.RanYes, Content: []byte(text), Usage: sequencer.Usage{Prompt: prompt, Completion: completion}}
}

// TestStepsOfACall stops the owner or the entry daemon after each step of a service call
// and checks that a later attempt never dispatches a call that may have run.
func TestStepsOfACall(t *testing.T) {
	rows := []struct {
		name string
		// lastStep is the step before the failure: intent, finished, withdrawn or unknown.
		lastStep string
		// takeover is set if a new owner takes over; otherwise only the entry daemon stops.
		takeover bool
		want     classifier.Ran
	}{
		{"entry daemon stopped before the answer", "intent", false, classifier.RanUnknown},
		{"owner and entry daemon stopped before the answer", "intent", true, classifier.RanUnknown},
		{"finished", "finished", false, classifier.RanYes},
		{"finished, owner stopped", "finished", true, classifier.RanYes},
		{"withdrawn as not run", "withdrawn", false, ""},
		{"withdrawn as not run, owner stopped", "withdrawn", true, ""},
		{"finished as unknown", "unknown", false, classifier.RanUnknown},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := emulator.NewStore()
				d := startDaemon(s)
				is.Equal(d.create(1000), nil)
				b := d.beginServiceCall(1, "a", "key-1", "post")
				is.Equal(b.Fault, nil)
				switch row.lastStep {
				case "finished":
					is.Equal(d.finish(b.Ticket, completed("receipt", 0, 0)).Fault, nil)
				case "withdrawn":
					is.Equal(d.finish(b.Ticket, sequencer.Outcome{Ran: classifier.RanNo}).Fault, nil)
					time.Sleep(time.Second)
				case "unknown":
					is.Equal(d.finish(b.Ticket, sequencer.Outcome{Ran: classifier.RanUnknown, Fault: classifier.New(classifier.OutcomeUnknown, classifier.RanUnknown, "")}).Fault, nil)
				}
				if row.takeover {
					d.ownership.lost.Store(true)
					d.close()
					d = startDaemon(s)
				}
				r := d.beginServiceCall(1, "b", "key-1", "post")
				for r.Waiting {
					r = d.beginServiceCall(1, "b", "key-1", "post")
				}
				is.Equal(r.Fault, nil)
				if row.want == "" {
					is.True(r.Replay == nil)
					is.Equal(r.Ticket.Number, 1) // The call did not run, so it may run now.
				} else {
					is.True(r.Replay != nil) // It may have run: never dispatched again.
					is.Equal(r.Replay.Ran, row.want)
				}
				d.close()
			})
		})
	}
}

func TestLateAnswerReplacesUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emulator.NewStore()
		d := startDaemon(s)
		is.Equal(d.create(1000), nil)
		b := d.beginServiceCall(1, "a", "", "post")
		unknown := sequencer.Outcome{Ran: classifier.RanUnknown, Fault: classifier.New(classifier.OutcomeUnknown, classifier.RanUnknown, "")}
		is.Equal(d.finish(b.Ticket, unknown).Fault, nil)
		is.Equal(d.finish(b.Ticket, completed("receipt", 0, 0)).Fault, nil)
		is.Equal(d.finish(b.Ticket, unknown).Fault, nil) // A known outcome stays.
		d.close()
		d = startDaemon(s)
		var r sequencer.LookupReply
		d.Lookup(context.Background(), &sequencer.LookupRequest{Name: programName, Number: 1}, &r)
		is.Equal(string(r.Outcome.Content), "receipt")
		d.close()
	})
}

func TestRecordedTurnIsVisibleAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := startDaemon(emulator.NewStore())
		is.Equal(d.create(1_000_000), nil)
		for i := range 50 {
			b := d.beginModelCall(i+1, "a", fmt.Sprint("question ", i), 10)
			is.Equal(d.finish(b.Ticket, completed("answer", 10*i, 1)).Fault, nil)
			is.Equal(len(d.view().Messages), 2*(i+1))
		}
		d.close()
	})
}

func TestOldOwnerWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emulator.NewStore()
		old := startDaemon(s)
		is.Equal(old.create(1_000_000), nil)
		b := old.beginModelCall(1, "a", "question", 10)
		successor := startDaemon(s) // The old owner has not yet learned of the takeover.
		is.True(old.finish(b.Ticket, completed("old", 2, 1)).Moved)
		is.Equal(successor.view().Calls, 0)
		is.Equal(successor.finish(b.Ticket, completed("kept", 2, 1)).Fault, nil) // The entry daemon retries Finish here.
		is.Equal(len(successor.view().Messages), 2)
		old.close()
		successor.close()
	})
}

func TestLongTurnsGoToTheObjectStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emulator.NewStore()
		d := startDaemon(s)
		is.Equal(d.create(1_000_000), nil)
		long := strings.Repeat("frond ", 20_000)
		b := d.beginModelCall(1, "a", long, 10)
		is.Equal(d.finish(b.Ticket, completed("answer", 30_000, 1)).Fault, nil)
		is.True(s.Counts().Bytes < len(long)) // The row holds only a reference to the object.
		d.close()
		d = startDaemon(s)
		is.Equal(string(d.view().Messages[0]), string(userMessage(long)))
		d.close()
	})
}

func TestIdleHistoriesLeaveMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emulator.NewStore()
		d := startDaemon(s)
		is.Equal(d.create(1_000_000), nil)
		b := d.beginModelCall(1, "a", strings.Repeat("frond ", 1000), 10)
		is.Equal(d.finish(b.Ticket, completed("answer", 1500, 1)).Fault, nil)
		time.Sleep(10 * time.Second)
		is.Equal(d.view().Calls, 1)
		reads := s.Counts().Reads
		is.Equal(d.view().Calls, 1)
		is.Equal(s.Counts().Reads, reads) // Served from memory.
		d.close()
		small := startDaemonWithLimit(s, 1000)
		is.Equal(small.view().Calls, 1)
		time.Sleep(3 * time.Second)
		reads = s.Counts().Reads
		is.Equal(small.view().Calls, 1)
		is.True(s.Counts().Reads > reads) // Evicted and read from the store again.
		small.close()
	})
}

func TestSameKeyOtherBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := startDaemon(emulator.NewStore())
		is.Equal(d.create(1000), nil)
		b := d.beginServiceCall(0, "a", "k", "post")
		is.Equal(d.finish(b.Ticket, completed("receipt", 0, 0)).Fault, nil)
		is.Equal(d.beginServiceCall(0, "b", "k", "other").Fault.Code, classifier.CallReused)
		is.Equal(string(d.beginServiceCall(0, "c", "k", "post").Replay.Content), "receipt")
		d.close()
	})
}

func TestStoreOutageIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emulator.NewStore()
		d := startDaemon(s)
		is.Equal(d.create(1000), nil)
		s.SetFaults(emulator.StoreFaults{Down: true})
		r := d.beginServiceCall(1, "a", "", "post")
		is.Equal(r.Fault.Code, classifier.StoreAway)
		is.Equal(r.Fault.Ran, classifier.RanNo)
		start := time.Now()
		r = d.beginServiceCall(1, "b", "", "post")
		is.Equal(r.Fault.Code, classifier.StoreAway)
		is.True(time.Since(start) < 100*time.Millisecond) // A known outage is reported without a wait.
		is.True(r.Fault.RetryAfterMS > 0)
		s.SetFaults(emulator.StoreFaults{})
		time.Sleep(5 * time.Second)
		is.Equal(d.beginServiceCall(1, "c", "", "post").Fault, nil)
		d.close()
	})
}

func TestGonePrograms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := startDaemon(emulator.NewStore())
		is.Equal(d.create(1000), nil)
		gone := func() int {
			var r sequencer.GoneReply
			d.Gone(context.Background(), &sequencer.GoneRequest{Names: []string{programName.String(), "kamalig~none", "no name"}, Idle: 30 * time.Second}, &r)
			return len(r.Gone)
		}
		is.Equal(gone(), 2) // The malformed and the absent name.
		time.Sleep(20 * time.Second)
		b := d.beginModelCall(1, "a", "question", 10)
		is.Equal(d.finish(b.Ticket, completed("answer", 2, 1)).Fault, nil)
		time.Sleep(20 * time.Second)
		is.Equal(gone(), 2)
		time.Sleep(20 * time.Second)
		is.Equal(gone(), 3) // The program has been idle for longer than the limit.
		d.close()
	})
}
