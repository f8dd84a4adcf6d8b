package seater

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/assigner"
)

const (
	// maxReports bounds the reports that wait; more are dropped, and the desk frees
	// their seats itself when their time is over.
	maxReports = 1024
	// reportPause is how long reports are gathered. A choice made meanwhile is off
	// by the requests that ended in that time.
	reportPause   = 4 * time.Millisecond
	reportTimeout = 200 * time.Millisecond
)

// addressed is a report with the desk that it is for.
type addressed struct {
	desk   assigner.Peer
	report Report
}

// reports tells desks what became of the requests that they seated.
type reports struct {
	seater *Seater
	queue  chan addressed
}

func (p *reports) add(desk assigner.Peer, r Report) {
	select {
	case p.queue <- addressed{desk, r}:
	default:
	}
}

func (p *reports) run() error {
	for {
		select {
		case first := <-p.queue:
			p.gather(first)
		case <-p.seater.tomb.Dying():
			return nil
		}
	}
}

// gather sends what comes within a short time, one call a desk.
func (p *reports) gather(first addressed) {
	batches := map[assigner.Peer][]Report{first.desk: {first.report}}
	for timer := time.After(reportPause); ; {
		select {
		case a := <-p.queue:
			batches[a.desk] = append(batches[a.desk], a.report)
			continue
		case <-timer:
		}
		break
	}
	for desk, list := range batches {
		go (&batch{seater: p.seater, desk: desk, request: ReportRequest{Reports: list}}).run()
	}
}

// batch is one call with reports. One that is lost is not repeated: the desk
// learns the load from later ones.
type batch struct {
	seater  *Seater
	desk    assigner.Peer
	request ReportRequest
}

func (b *batch) run() {
	ctx, cancel := context.WithTimeout(b.seater.tomb.Context(nil), reportTimeout)
	defer cancel()
	if err := b.seater.peers.Call(ctx, b.desk.Address, reportMethod, b.request, &ReportReply{}); err != nil && b.seater.desks.Failed(b.desk.Address) {
		b.seater.recorder.Event("seater", "desk left").Str("desk", b.desk.Name).Err(err).End()
	}
}
