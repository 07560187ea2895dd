package proof

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/entry/queue"
)

// grantSeeds is over how many seeds BenchmarkGrants averages.
const grantSeeds = 6

// BenchmarkGrants compares the agents' policies of granting slots to entries
// under one load, in virtual time.
func BenchmarkGrants(b *testing.B) {
	for _, p := range []agent.Policy{agent.Sticky{Factor: 2}, agent.ByRank{}, agent.Split{}, agent.Lend{Keep: 1}, agent.DefaultLend} {
		for _, load := range []float64{0.8, 0.9} {
			b.Run(fmt.Sprintf("%s/load=%.2f", p.Name(), load), func(b *testing.B) {
				for range b.N {
					reportGrants(b, p, load)
				}
			})
		}
	}
}

func reportGrants(b *testing.B, p agent.Policy, load float64) {
	var p50, p99, wasted, refused float64
	for seed := uint64(1); seed <= grantSeeds; seed++ {
		o := defaultOptions(seed)
		o.order = queue.LeftOverSlowdown
		o.agentCfg = agent.Config{Policy: p}
		r := runLoad(loadSpec{options: o, load: load, duration: 120 * time.Second, warmup: 10 * time.Second})
		p50 += r.quantile(0.5)
		p99 += r.quantile(0.99)
		wasted += 100 * r.wastedShare
		refused += float64(r.refused)
	}
	b.ReportMetric(p50/grantSeeds, "p50")
	b.ReportMetric(p99/grantSeeds, "p99")
	b.ReportMetric(wasted/grantSeeds, "wasted%")
	b.ReportMetric(refused/grantSeeds, "refused")
}
