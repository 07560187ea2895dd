package e2e

import (
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// All control hosts and entries lose power at once, several times, while clients send
// jobs. After each return the configuration is in force again, entries serve, each term
// had one leader, no configuration was replaced by an earlier one, what was refused has
// not run, and no task ran twice at once.
func TestAllControlHostsAndEntriesLosePower(t *testing.T) {
	const (
		rounds          = 3
		clientsPerEntry = 24
	)
	f := newPlatformFleet(t, 3, 2, 2)
	var clients []*client
	for i, addr := range f.clientAddrs {
		for k := range clientsPerEntry {
			rng := rand.New(rand.NewPCG(uint64(i), uint64(k)))
			c := f.newClient(addr, f.jobs(rng, longestRunTime))
			c.pause = pauses(rng, 0, refusalPause)
			clients = append(clients, c)
		}
	}
	l := startLoad(t, clients)
	for range rounds {
		time.Sleep(loadTime)
		hosts := append(append([]*process(nil), f.controls...), f.entries...)
		for _, p := range hosts {
			p.kill()
		}
		for _, i := range rand.Perm(len(hosts)) {
			hosts[i].start(t)
		}
		for i := range f.entries {
			f.awaitServing(i)
		}
		require.Contains(t, f.published(), `"version":1`)
	}
	time.Sleep(loadTime)
	list := l.end()
	f.checkJobs(list)
	f.checkLeaders(rounds)
	f.checkIndices()
	for _, x := range list {
		require.NotEqual(t, silent, x.ending, "%v", x)
	}
}

// published returns the document in force, as an operator reads it.
func (f *platformFleet) published() string {
	f.t.Helper()
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	var text []byte
	poll(f.t, "the document is read", func() string {
		resp, err := client.Get("http://" + f.operatorAddrs[0] + "/config")
		if err != nil {
			return err.Error()
		}
		defer resp.Body.Close()
		text, err = io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK {
			return resp.Status
		}
		return ""
	})
	return string(text)
}

var (
	electedLine = regexp.MustCompile(`a leader was elected leader=(\S+) address=\S+ term=(\d+)`)
	inForceLine = regexp.MustCompile(`configuration in force index=(\d+)`)
)

// checkLeaders requires one leader for each term, and at least one election for each
// loss of power.
func (f *platformFleet) checkLeaders(losses int) {
	f.t.Helper()
	leaders := map[string]string{}
	for _, p := range f.controls {
		for _, m := range electedLine.FindAllStringSubmatch(p.readLog(f.t), -1) {
			leader, term := m[1], m[2]
			if known, ok := leaders[term]; ok {
				require.Equal(f.t, known, leader, "leaders of term %s", term)
			}
			leaders[term] = leader
		}
	}
	require.Greater(f.t, len(leaders), losses)
}

// checkIndices requires that no entry has put an earlier configuration in force than
// before.
func (f *platformFleet) checkIndices() {
	f.t.Helper()
	for _, p := range f.entries {
		last := 0
		for _, m := range inForceLine.FindAllStringSubmatch(p.readLog(f.t), -1) {
			index, err := strconv.Atoi(m[1])
			require.NoError(f.t, err)
			require.GreaterOrEqual(f.t, index, last, p.name)
			last = index
		}
		require.Positive(f.t, last, p.name)
	}
}
