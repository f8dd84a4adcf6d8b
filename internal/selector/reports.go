package selector

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	// maxReports bounds the queued reports. Further reports are dropped, and the
	// coordinator releases their placements when these expire.
	maxReports = 1024
	// reportDelay is how long reports are collected into a batch. Until then the coordinator
	// counts ended requests as in flight.
	reportDelay   = 4 * time.Millisecond
	reportTimeout = 200 * time.Millisecond
)

// addressedReport is a report with the coordinator that receives it.
type addressedReport struct {
	coordinator assigner.Peer
	report      Report
}

// reporter sends coordinators the reports on the requests that they placed.
type reporter struct {
	selector *Selector
	queue    chan addressedReport
}

// enqueue queues a report, or drops it if the queue is full.
func (p *reporter) enqueue(coordinator assigner.Peer, r Report) {
	select {
	case p.queue <- addressedReport{coordinator, r}:
	default:
	}
}

func (p *reporter) run() error {
	for {
		select {
		case first := <-p.queue:
			p.collect(first)
		case <-p.selector.tomb.Dying():
			return nil
		}
	}
}

// collect gathers reports for reportDelay and sends them in one call for each coordinator.
func (p *reporter) collect(first addressedReport) {
	batches := map[assigner.Peer][]Report{first.coordinator: {first.report}}
	for timer := time.After(reportDelay); ; {
		select {
		case a := <-p.queue:
			batches[a.coordinator] = append(batches[a.coordinator], a.report)
			continue
		case <-timer:
		}
		break
	}
	for peer, list := range batches {
		go (&batch{selector: p.selector, coordinator: peer, request: ReportRequest{Reports: list}}).run()
	}
}

// batch is one call with reports. A lost call is not retried, because later reports
// bring the coordinator the load, and the placements of lost ends expire.
type batch struct {
	selector    *Selector
	coordinator assigner.Peer
	request     ReportRequest
}

func (b *batch) run() {
	defer supervisor.Recover("selector: report to a coordinator")
	ctx, cancel := context.WithTimeout(b.selector.tomb.Context(nil), reportTimeout)
	defer cancel()
	if err := b.selector.peers.Call(ctx, b.coordinator.Address, reportMethod, b.request, &ReportReply{}); err != nil && b.selector.coordinators.Failed(b.coordinator.Address) {
		// In logs, "seater" is the selector and "desk" the coordinator. The event is logged
		// at the first failure since the coordinator last answered.
		b.selector.logger.Event("seater", "desk left").Str("desk", b.coordinator.Name).Err(err).End()
	}
}
