package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/adminapi"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/platform/standin"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// maxEvacuation bounds how long a failure domain stays evacuated.
	maxEvacuation = 2 * time.Second
	// listTimeout bounds one request for the list of evacuations.
	listTimeout = 2 * time.Second
)

// evacuator evacuates one failure domain at a time and takes it back. It repeats each
// order until it is acknowledged, and then expects it in the list of every host that
// has a quorum.
type evacuator struct {
	size
	ledger *standin.Ledger
	client http.Client
	id     *keys.Identity
	// admin holds a client for each control host that was asked.
	admin  map[int]*adminapi.Client
	orders atomic.Int64
	// verified counts the lists of hosts with a quorum.
	verified atomic.Int64
}

func newEvacuator(t *testing.T, s size, ledger *standin.Ledger) *evacuator {
	t.Helper()
	id, err := keys.SelfSigned(wire.RoleOperator, "operator", "soak")
	require.NoError(t, err)
	return &evacuator{size: s, ledger: ledger, id: id, admin: map[int]*adminapi.Client{}}
}

func (e *evacuator) run(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		// The domains of control hosts are known to all of them.
		domain := fmt.Sprintf("zone-%d", 1+rng.IntN(e.controls))
		for _, method := range []string{http.MethodPost, http.MethodDelete} {
			if e.order(ctx, rng, method, domain) {
				e.check(rng, domain, method == http.MethodPost)
			}
			sleep(ctx, time.Duration(rng.Int64N(int64(maxEvacuation))))
		}
	}
}

// order sends an order to random hosts until one acknowledges it. It returns false if
// ctx has ended before.
func (e *evacuator) order(ctx context.Context, rng *rand.Rand, method, domain string) bool {
	for ctx.Err() == nil {
		url := "http://" + e.address(netControl, e.hosts.draw(rng), portOperators) + "/evacuation/" + domain
		switch status := e.call(ctx, method, url); status {
		case http.StatusOK:
			e.orders.Add(1)
			return true
		case 0, http.StatusServiceUnavailable:
		default:
			e.ledger.AddViolation("%s %s: unexpected status %d", method, url, status)
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return false
}

// call returns the status, or 0 if there was no answer.
func (e *evacuator) call(ctx context.Context, method, url string) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, http.NoBody)
	if err != nil {
		return 0
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// adminOf returns the client for a control host.
func (e *evacuator) adminOf(host int) *adminapi.Client {
	if e.admin[host] == nil {
		e.admin[host] = adminapi.NewClient(e.id, []string{e.address(netControl, host, portAdmin)})
	}
	return e.admin[host]
}

// check compares the list of a random host with the last acknowledged order.
func (e *evacuator) check(rng *rand.Rand, domain string, evacuated bool) {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	var list adminapi.EvacuationsReply
	if err := e.adminOf(e.hosts.draw(rng)).Get(ctx, adminapi.PathEvacuations, "", &list); err != nil || !list.Fresh {
		return
	}
	e.verified.Add(1)
	listed := slices.ContainsFunc(list.Evacuations, func(one adminapi.Evacuation) bool { return one.Domain == domain })
	if listed != evacuated {
		e.ledger.AddViolation("%s: acknowledged as evacuated=%t, but listed: %t (version %d)", domain, evacuated, listed, list.Index)
	}
}
