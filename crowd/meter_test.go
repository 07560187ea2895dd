package crowd

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// sampleInterval is the time between two samples of a process.
const sampleInterval = 50 * time.Millisecond

// meter samples the memory and the descriptors of a process.
type meter struct {
	p      *process
	cancel func()

	mu sync.Mutex
	// memory is the highest sum of resident and unread bytes, resident and unread its
	// parts; descriptors is the highest number of open ones.
	memory, resident, unread int64
	descriptors              int
	// maxDescriptors is the bound of the descriptors.
	maxDescriptors int
}

// newMeter starts a meter; stop ends it.
func newMeter(p *process) *meter {
	m := &meter{p: p, maxDescriptors: hostDescriptors - filesReserve}
	end, ended := make(chan struct{}), make(chan struct{})
	m.cancel = sync.OnceFunc(func() { close(end); <-ended })
	go func() {
		defer close(ended)
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-end:
				return
			case <-ticker.C:
				m.sample()
			}
		}
	}()
	return m
}

func (m *meter) stop() { m.cancel() }

func (m *meter) sample() {
	pid := m.p.cmd.Process.Pid
	resident, peak := residentBytes(pid)
	unread := unreadBytes(m.p.addr)
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return // the process has ended
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if memory := max(resident+unread, peak); memory > m.memory {
		m.memory, m.resident, m.unread = memory, max(resident, peak), unread
	}
	m.descriptors = max(m.descriptors, len(open))
}

// check requires that the process lives and has stayed within its bounds.
func (m *meter) check(t *testing.T) {
	t.Helper()
	m.sample()
	m.mu.Lock()
	defer m.mu.Unlock()
	t.Logf("%s: memory %d of %d bytes (resident %d, unread %d), descriptors %d of %d",
		m.p.name, m.memory, m.p.memory, m.resident, m.unread, m.descriptors, m.maxDescriptors)
	if !m.p.alive() {
		t.Errorf("%s has ended: %v", m.p.name, m.p.cmd.ProcessState)
	}
	if m.memory > m.p.memory {
		t.Errorf("%s took %d bytes of its host's %d", m.p.name, m.memory, m.p.memory)
	}
	if m.descriptors > m.maxDescriptors {
		t.Errorf("%s had %d descriptors of %d open", m.p.name, m.descriptors, m.maxDescriptors)
	}
}

// residentBytes returns the resident memory of a process and its peak.
func residentBytes(pid int) (now, peak int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0 // the process has ended
	}
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		n, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		switch {
		case err != nil:
		case name == "VmRSS":
			now = n << 10
		case name == "VmHWM":
			peak = n << 10
		}
	}
	return now, peak
}

// unreadBytes returns the bytes that have arrived at the TCP sockets of an IP address
// and have not been read.
func unreadBytes(addr string) int64 {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	// The kernel prints the address as a number in the byte order of the host.
	var number [4]byte
	binary.LittleEndian.PutUint32(number[:], binary.BigEndian.Uint32(net.ParseIP(addr).To4()))
	local := strings.ToUpper(hex.EncodeToString(number[:])) + ":"
	total := int64(0)
	for scanner := bufio.NewScanner(bytes.NewReader(text)); scanner.Scan(); {
		// sl, local address, remote address, state, tx_queue:rx_queue, ...
		fields := strings.Fields(scanner.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == stateListen {
			continue
		}
		_, queued, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(queued, 16, 64)
		if err == nil {
			total += n
		}
	}
	return total
}

// stateListen is the state of a listener, whose queue counts connections.
const stateListen = "0A"
