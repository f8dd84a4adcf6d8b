package relayer

import "context"

// prober probes the store during its outages, so that their end is detected without other
// traffic.
type prober struct{ relayer *Relayer }

func (p *prober) run() error {
	x := p.relayer
	for x.sleep(probePeriod) {
		if x.direct.OutageDuration() > 0 {
			p.probe(x.tomb.Context(nil))
		}
	}
	return nil
}

// probe reads one row.
func (p *prober) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	// The guard records the result.
	_, _ = p.relayer.direct.Get(ctx, secretKey)
}
