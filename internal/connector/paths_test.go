package connector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/connector"
)

// A replica that failed for everyone was taken for a cut link, and its peers were asked again
// and again.
func TestAReplicaThatNoPeerReachesIsNotACutLink(t *testing.T) {
	is := is.New(t)
	p, now := connector.NewPaths(), time.Now()
	direct, detour, cut := p.Plan("a", now)
	is.True(direct && detour && !cut)
	for _, instance := range []string{"a", "b", "c"} {
		p.Unreached(instance, now)
	}
	is.True(!p.AllCut())
	direct, detour, cut = p.Plan("a", now.Add(connector.DetourPause-1))
	is.True(direct && !detour && !cut)
	direct, detour, cut = p.Plan("a", now.Add(connector.DetourPause))
	is.True(direct && detour && !cut)
}

// The links to one replica or one zone were cut, and all others were left as well.
func TestOneCutLinkLeavesTheOthers(t *testing.T) {
	is := is.New(t)
	p, now := connector.NewPaths(), time.Now()
	p.Detoured("a", now)
	p.Detoured("b", now.Add(1))
	p.Reached("c", now.Add(2))
	is.True(!p.AllCut())
	_, _, cut := p.Plan("a", now.Add(3))
	is.True(cut)
	direct, _, cut := p.Plan("c", now.Add(3))
	is.True(direct && !cut)
}

// A daemon that had found several links cut still tried the rest, one after the other.
func TestSeveralCutLinksStandForAll(t *testing.T) {
	is := is.New(t)
	p, now := connector.NewPaths(), time.Now()
	p.Reached("c", now)
	p.Detoured("a", now.Add(1))
	is.True(!p.AllCut())
	p.Detoured("b", now.Add(2))
	is.True(p.AllCut())
	now = now.Add(3)
	direct, detour, cut := p.Plan("c", now)
	is.True(direct && detour && cut) // A probe.
	for range 10 {
		direct, detour, cut = p.Plan("d", now)
		is.True(!direct && detour && cut) // One probe for all that were not tried themselves.
	}
	now = now.Add(connector.ProbePeriod)
	direct, _, _ = p.Plan("d", now)
	is.True(direct)
	p.Unreached("d", now) // It fails for the peers too, so there is no way to it.
	direct, detour, _ = p.Plan("d", now)
	is.True(!direct && !detour)
}

// Links that worked again were not used, or all requests returned to them at once.
func TestLinksReturnOneByOne(t *testing.T) {
	is := is.New(t)
	p, now := connector.NewPaths(), time.Now()
	for _, instance := range []string{"a", "b", "c"} {
		p.Detoured(instance, now)
	}
	now = now.Add(connector.ProbePeriod)
	direct, _, cut := p.Plan("a", now)
	is.True(direct && cut)
	p.Reached("a", now)
	is.True(!p.AllCut())
	direct, _, cut = p.Plan("a", now)
	is.True(direct && !cut)
	_, _, cut = p.Plan("b", now)
	is.True(cut) // Its own probe decides.
	p.Reached("b", now)
	_, _, cut = p.Plan("b", now)
	is.True(!cut)
}

// Replicas that are gone stayed in memory.
func TestUnusedLinksAreForgotten(t *testing.T) {
	is := is.New(t)
	p, now := connector.NewPaths(), time.Now()
	p.Detoured("a", now)
	p.Detoured("b", now.Add(time.Second))
	is.Equal(p.Evict(now.Add(connector.CutRetention+1)), 1)
	is.True(!p.AllCut())
}
