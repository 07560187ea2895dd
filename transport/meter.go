package transport

import (
	"fmt"
	"strings"

	"github.com/uber-go/tally/v4"

	"github.com/fireflytray/fireflytray/wire"
)

// kindLimit is one more than the highest kind.
const kindLimit = int(wire.KindPong) + 1

// meter counts messages and bytes by kind.
type meter struct {
	sent, received [kindLimit]kindCounters
}

type kindCounters struct {
	messages, bytes tally.Counter
}

func newMeter(scope tally.Scope) *meter {
	m := new(meter)
	for k := 1; k < kindLimit; k++ {
		tags := map[string]string{"kind": kindName(wire.Kind(k))}
		tagged := scope.SubScope("transport").Tagged(tags)
		m.sent[k] = kindCounters{tagged.Counter("sent_messages"), tagged.Counter("sent_bytes")}
		m.received[k] = kindCounters{tagged.Counter("received_messages"), tagged.Counter("received_bytes")}
	}
	return m
}

func kindName(k wire.Kind) string {
	msg, err := wire.New(k)
	if err != nil {
		return "unknown"
	}
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", msg), "*wire."))
}

func (c kindCounters) add(bytes int) {
	c.messages.Inc(1)
	c.bytes.Inc(int64(bytes))
}
