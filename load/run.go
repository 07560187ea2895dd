package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/load/workload"
	"github.com/fireflytray/fireflytray/task"
)

const (
	roundTripSamples = 21
	roundTripTimeout = 5 * time.Second
)

// Run sends the load to the entries and returns the measurements. If ctx ends
// early, the result covers the submissions sent until then.
func Run(ctx context.Context, o Options) (*Result, error) {
	o.setDefaults()
	if err := o.check(); err != nil {
		return nil, err
	}
	gen, err := workload.New(o.Load)
	if err != nil {
		return nil, err
	}
	c := newClient(&o, fmt.Sprintf("%08x", rand.Uint32()))
	if err := c.measureRoundTrip(); err != nil {
		return nil, err
	}
	before, err := c.scrapeCounters()
	if err != nil {
		return nil, err
	}
	r := &runner{opts: &o, client: c, stats: newStats(&o)}
	r.send(ctx, gen)
	res := r.stats.result()
	if res.CounterChanges, err = c.counterChanges(before); err != nil {
		return res, err
	}
	res.Journal, err = c.checkJournals()
	return res, err
}

// measureRoundTrip sets RoundTrip to the median time of requests to /healthz,
// unless RoundTrip is given.
func (c *client) measureRoundTrip() error {
	if c.opts.RoundTrip > 0 {
		return nil
	}
	var trips []time.Duration
	for _, e := range c.opts.Entries {
		for range roundTripSamples {
			start := time.Now()
			status, _, err := c.http.GetTimeout(nil, e+"/healthz", roundTripTimeout)
			if err != nil {
				return fmt.Errorf("load: health of entry %s: %w", e, err)
			}
			if status != fasthttp.StatusOK {
				return fmt.Errorf("load: health of entry %s: status %d", e, status)
			}
			trips = append(trips, time.Since(start))
		}
	}
	slices.Sort(trips)
	c.opts.RoundTrip = trips[len(trips)/2]
	return nil
}

// runner sends the submissions of one run and records their answers.
type runner struct {
	opts   *Options
	client *client
	stats  *stats
}

// send sends every submission at its intended time and returns when each one is
// answered or has timed out.
func (r *runner) send(ctx context.Context, gen *workload.Generator) {
	start := time.Now()
	end := start.Add(r.opts.Duration + r.opts.Drain)
	stop := r.reportProgress(start)
	defer stop()
	inFlightLimit := make(chan struct{}, r.opts.MaxInFlight)
	var inFlight sync.WaitGroup
	for {
		s := gen.Next()
		if !sleepUntil(ctx, start.Add(min(s.At, r.opts.Duration))) || s.At >= r.opts.Duration {
			break
		}
		select {
		case inFlightLimit <- struct{}{}:
		default:
			r.stats.add(&s, answer{state: task.NotRun.String(), reason: reasonNotSent}, 0)
			continue
		}
		r.stats.recordSent()
		inFlight.Go(func() {
			a := r.client.submit(&s, end)
			r.stats.add(&s, a, time.Since(start)-s.At)
			<-inFlightLimit
		})
	}
	r.stats.setSendDuration(time.Since(start))
	inFlight.Wait()
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	delay := time.Until(at)
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) reportProgress(start time.Time) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				fmt.Fprintf(r.opts.Progress, "load: %3.0f s  %s\n", time.Since(start).Seconds(), r.stats.progress())
			case <-done:
				return
			}
		}
	})
	return sync.OnceFunc(func() {
		close(done)
		wg.Wait()
	})
}

// ErrInvalidAnswers means that answers were lost or invalid, or that tasks were
// started more than once.
var ErrInvalidAnswers = errors.New("load: answers were lost or invalid, or tasks were started more than once")
