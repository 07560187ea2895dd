package transport

import (
	"fmt"
	"strings"

	"github.com/uber-go/tally/v4"

	"github.com/fireflytray/fireflytray/wire"
)

// meter counts messages and bytes by kind.
type meter struct {
	// The slices are indexed by wire.Kind; index 0 is unused.
	sent, received []kindCounters
}

type kindCounters struct {
	messages, bytes tally.Counter
}

func newMeter(scope tally.Scope) *meter {
	m := &meter{sent: make([]kindCounters, 1), received: make([]kindCounters, 1)}
	for k := wire.Kind(1); k != 0; k++ {
		name, ok := kindName(k)
		if !ok {
			break
		}
		tagged := scope.SubScope("transport").Tagged(map[string]string{"kind": name})
		m.sent = append(m.sent, kindCounters{tagged.Counter("sent_messages"), tagged.Counter("sent_bytes")})
		m.received = append(m.received, kindCounters{tagged.Counter("received_messages"), tagged.Counter("received_bytes")})
	}
	return m
}

// kindName returns the metric tag of a kind; ok is false if the kind has no
// message type.
func kindName(k wire.Kind) (name string, ok bool) {
	msg, err := wire.New(k)
	if err != nil {
		return "", false
	}
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", msg), "*wire.")), true
}

func (c kindCounters) add(bytes int) {
	c.messages.Inc(1)
	c.bytes.Inc(int64(bytes))
}
