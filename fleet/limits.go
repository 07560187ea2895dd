package fleet

import (
	"fmt"
	"time"

	"github.com/fireflytray/fireflytray/wire"
)

// RequestLimits bound the requests of the clients that use routes. They come with a
// published document, beside its sections: builds that don't know them would refuse a
// section of a new kind. Zero fields set no limit.
type RequestLimits struct {
	// HeaderBytes bounds the headers with the request line, BodyBytes the body, in
	// bytes.
	HeaderBytes, BodyBytes uint32
	// HeaderTimeout bounds the time to receive the headers, from the first byte on.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may wait for a request.
	IdleTimeout time.Duration
}

// The keys of RequestLimits.
const (
	LimitHeaderBytes   = "header-bytes"
	LimitBodyBytes     = "body-bytes"
	LimitHeaderTimeout = "header-timeout"
	LimitIdleTimeout   = "idle-timeout"
)

// The highest values of RequestLimits.
const (
	MaxRequestBytes   = 1 << 30
	MaxRequestTimeout = time.Hour
)

// ParseLimits returns the limits in pairs. It leaves out unknown keys, which later builds
// may add. The limits that are valid hold, also if there is an error.
func ParseLimits(pairs []wire.ConfigPair) (l RequestLimits, err error) {
	for _, p := range pairs {
		next, failed := l, error(nil)
		switch p.Key {
		case LimitHeaderBytes:
			failed = setUint(&next.HeaderBytes, p.Value, 1, MaxRequestBytes)
		case LimitBodyBytes:
			failed = setUint(&next.BodyBytes, p.Value, 1, MaxRequestBytes)
		case LimitHeaderTimeout:
			failed = setDuration(&next.HeaderTimeout, p.Value, time.Millisecond, MaxRequestTimeout)
		case LimitIdleTimeout:
			failed = setDuration(&next.IdleTimeout, p.Value, time.Millisecond, MaxRequestTimeout)
		}
		if failed != nil {
			err = fmt.Errorf("fleet: limit %s: %w", p.Key, failed)
			continue
		}
		l = next
	}
	return l, err
}
