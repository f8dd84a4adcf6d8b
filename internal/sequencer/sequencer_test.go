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

// holder owns the only partition under a fence.
type holder struct {
	fence leaser.Fence
	lost  atomic.Bool
}

func (h *holder) Owns(int) (leaser.Fence, bool) { return h.fence, !h.lost.Load() }
func (h *holder) Keeps(int) bool                { return !h.lost.Load() }
func (h *holder) Partitions() int               { return 1 }

// daemon is an owner with its journal.
type daemon struct {
	*sequencer.Owner
	holder  *holder
	journal *journaler.Journaler
	cancel  context.CancelFunc
}

var sessions int

// take starts a daemon that takes the partition over from any earlier one.
func take(s *emulator.Store) *daemon { return takeWith(s, 0) }

// takeWith is take with a bound on the histories in memory.
func takeWith(s *emulator.Store, maxBytes int) *daemon {
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
	d := &daemon{holder: &holder{fence: leaser.Fence{Version: v}}, cancel: cancel}
	d.journal = journaler.New(journaler.Options{Table: s, Session: fmt.Sprint(sessions)})
	d.Owner = sequencer.New(sequencer.Options{Holder: d.holder, Journal: d.journal, Table: s, Objects: s, MaxBytes: maxBytes})
	d.journal.Start(ctx)
	d.Start(ctx)
	return d
}

func (d *daemon) close() {
	d.cancel()
	_ = d.journal.Wait()
	_ = d.Wait()
}

var lot = sequencer.Name{Account: "kamalig", ID: "lot-1"}

func user(text string) json.RawMessage {
	data, _ := json.Marshal(map[string]string{"role": "user", "content": text})
	return data
}

func (d *daemon) create(budget int) *classifier.Fault {
	var r sequencer.ViewReply
	d.Create(context.Background(), &sequencer.CreateRequest{Name: lot, Budget: budget}, &r)
	return r.Fault
}

func (d *daemon) ask(number int, attempt, text string, most int) sequencer.BeginReply {
	var r sequencer.BeginReply
	d.Begin(context.Background(), &sequencer.BeginRequest{
		Name: lot, Number: number, Kind: sequencer.ModelCall, Repeatable: true, Hash: text[:min(len(text), 32)],
		Messages: []json.RawMessage{user(text)}, MaxTokens: most, Attempt: attempt,
	}, &r)
	return r
}

func (d *daemon) post(number int, attempt, key, body string) sequencer.BeginReply {
	var r sequencer.BeginReply
	d.Begin(context.Background(), &sequencer.BeginRequest{
		Name: lot, Number: number, Key: key, Kind: sequencer.ServiceCall, Target: "ledger", Hash: body, Attempt: attempt,
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
	d.Read(context.Background(), &sequencer.ReadRequest{Name: lot, History: true}, &r)
	return r.View
}

func done(text string, prompt, completion int) sequencer.Outcome {
	return sequencer.Outcome{Ran: classifier.RanYes, Content: []byte(text), Usage: sequencer.Usage{Prompt: prompt, Completion: completion}}
}

// TestStepsOfACall kills the owner or loses the entry at each step of a service
// call and looks at what its successor says.
func TestStepsOfACall(t *testing.T) {
	rows := []struct {
		name string
		// until is how far the call gets: intent, dispatched, finished, withdrawn.
		until string
		// takeover says that the owner dies; otherwise only the entry is gone.
		takeover bool
		want     classifier.Ran
	}{
		{"entry gone before the answer", "intent", false, classifier.RanUnknown},
		{"owner and entry gone before the answer", "intent", true, classifier.RanUnknown},
		{"finished", "finished", false, classifier.RanYes},
		{"finished, owner gone", "finished", true, classifier.RanYes},
		{"withdrawn as not run", "withdrawn", false, ""},
		{"withdrawn as not run, owner gone", "withdrawn", true, ""},
		{"finished as unknown", "unknown", false, classifier.RanUnknown},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := emulator.NewStore()
				d := take(s)
				is.Equal(d.create(1000), nil)
				b := d.post(1, "a", "key-1", "post")
				is.Equal(b.Fault, nil)
				switch row.until {
				case "finished":
					is.Equal(d.finish(b.Ticket, done("receipt", 0, 0)).Fault, nil)
				case "withdrawn":
					is.Equal(d.finish(b.Ticket, sequencer.Outcome{Ran: classifier.RanNo}).Fault, nil)
					time.Sleep(time.Second)
				case "unknown":
					is.Equal(d.finish(b.Ticket, sequencer.Outcome{Ran: classifier.RanUnknown, Fault: classifier.New(classifier.OutcomeUnknown, classifier.RanUnknown, "")}).Fault, nil)
				}
				if row.takeover {
					d.holder.lost.Store(true)
					d.close()
					d = take(s)
				}
				r := d.post(1, "b", "key-1", "post")
				for r.Waiting {
					r = d.post(1, "b", "key-1", "post")
				}
				is.Equal(r.Fault, nil)
				if row.want == "" {
					is.True(r.Replay == nil)
					is.Equal(r.Ticket.Number, 1) // It did not run, so it may run now.
				} else {
					is.True(r.Replay != nil) // It is never dispatched again.
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
		d := take(s)
		is.Equal(d.create(1000), nil)
		b := d.post(1, "a", "", "post")
		unknown := sequencer.Outcome{Ran: classifier.RanUnknown, Fault: classifier.New(classifier.OutcomeUnknown, classifier.RanUnknown, "")}
		is.Equal(d.finish(b.Ticket, unknown).Fault, nil)
		is.Equal(d.finish(b.Ticket, done("receipt", 0, 0)).Fault, nil)
		is.Equal(d.finish(b.Ticket, unknown).Fault, nil) // A later doubt changes nothing.
		d.close()
		d = take(s)
		var r sequencer.LookupReply
		d.Lookup(context.Background(), &sequencer.LookupRequest{Name: lot, Number: 1}, &r)
		is.Equal(string(r.Outcome.Content), "receipt")
		d.close()
	})
}

func TestRecordedTurnIsVisibleAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := take(emulator.NewStore())
		is.Equal(d.create(1_000_000), nil)
		for i := range 50 {
			b := d.ask(i+1, "a", fmt.Sprint("question ", i), 10)
			is.Equal(d.finish(b.Ticket, done("answer", 10*i, 1)).Fault, nil)
			is.Equal(len(d.view().Messages), 2*(i+1))
		}
		d.close()
	})
}

func TestOldOwnerWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emulator.NewStore()
		old := take(s)
		is.Equal(old.create(1_000_000), nil)
		b := old.ask(1, "a", "question", 10)
		fresh := take(s) // The old one does not know yet.
		is.True(old.finish(b.Ticket, done("old", 2, 1)).Moved)
		is.Equal(fresh.view().Calls, 0)
		is.Equal(fresh.finish(b.Ticket, done("kept", 2, 1)).Fault, nil) // The entry brings it to the new one.
		is.Equal(len(fresh.view().Messages), 2)
		old.close()
		fresh.close()
	})
}

func TestLongTurnsGoToTheObjectStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emulator.NewStore()
		d := take(s)
		is.Equal(d.create(1_000_000), nil)
		long := strings.Repeat("frond ", 20_000)
		b := d.ask(1, "a", long, 10)
		is.Equal(d.finish(b.Ticket, done("answer", 30_000, 1)).Fault, nil)
		is.True(s.Counts().Bytes < len(long)) // The row holds a reference.
		d.close()
		d = take(s)
		is.Equal(string(d.view().Messages[0]), string(user(long)))
		d.close()
	})
}

func TestIdleHistoriesLeaveMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emulator.NewStore()
		d := take(s)
		is.Equal(d.create(1_000_000), nil)
		b := d.ask(1, "a", strings.Repeat("frond ", 1000), 10)
		is.Equal(d.finish(b.Ticket, done("answer", 1500, 1)).Fault, nil)
		time.Sleep(10 * time.Second)
		is.Equal(d.view().Calls, 1)
		reads := s.Counts().Reads
		is.Equal(d.view().Calls, 1)
		is.Equal(s.Counts().Reads, reads) // In memory.
		d.close()
		small := takeWith(s, 1000)
		is.Equal(small.view().Calls, 1)
		time.Sleep(3 * time.Second)
		reads = s.Counts().Reads
		is.Equal(small.view().Calls, 1)
		is.True(s.Counts().Reads > reads) // Loaded again.
		small.close()
	})
}

func TestSameKeyOtherBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := take(emulator.NewStore())
		is.Equal(d.create(1000), nil)
		b := d.post(0, "a", "k", "post")
		is.Equal(d.finish(b.Ticket, done("receipt", 0, 0)).Fault, nil)
		is.Equal(d.post(0, "b", "k", "other").Fault.Code, classifier.CallReused)
		is.Equal(string(d.post(0, "c", "k", "post").Replay.Content), "receipt")
		d.close()
	})
}

func TestStoreOutageIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := emulator.NewStore()
		d := take(s)
		is.Equal(d.create(1000), nil)
		s.SetFaults(emulator.StoreFaults{Down: true})
		r := d.post(1, "a", "", "post")
		is.Equal(r.Fault.Code, classifier.StoreAway)
		is.Equal(r.Fault.Ran, classifier.RanNo)
		start := time.Now()
		r = d.post(1, "b", "", "post")
		is.Equal(r.Fault.Code, classifier.StoreAway)
		is.True(time.Since(start) < 100*time.Millisecond) // At once, once the outage is known.
		is.True(r.Fault.RetryAfterMS > 0)
		s.SetFaults(emulator.StoreFaults{})
		time.Sleep(5 * time.Second)
		is.Equal(d.post(1, "c", "", "post").Fault, nil)
		d.close()
	})
}

func TestGonePrograms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := take(emulator.NewStore())
		is.Equal(d.create(1000), nil)
		gone := func() int {
			var r sequencer.GoneReply
			d.Gone(context.Background(), &sequencer.GoneRequest{Names: []string{lot.String(), "kamalig~none", "no name"}, Idle: 30 * time.Second}, &r)
			return len(r.Gone)
		}
		is.Equal(gone(), 2) // The malformed and the absent one.
		time.Sleep(20 * time.Second)
		b := d.ask(1, "a", "question", 10)
		is.Equal(d.finish(b.Ticket, done("answer", 2, 1)).Fault, nil)
		time.Sleep(20 * time.Second)
		is.Equal(gone(), 2)
		time.Sleep(20 * time.Second)
		is.Equal(gone(), 3) // It has paused for too long.
		d.close()
	})
}
