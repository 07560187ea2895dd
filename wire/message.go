package wire

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// Message is implemented by every message of this package.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
	msgp.Sizer
	// Kind returns the kind under which the message is framed.
	Kind() Kind
}

// Kind returns KindHello.
func (*Hello) Kind() Kind { return KindHello }

// Kind returns KindWelcome.
func (*Welcome) Kind() Kind { return KindWelcome }

// Kind returns KindUpdate.
func (*Update) Kind() Kind { return KindUpdate }

// Kind returns KindReport.
func (*Report) Kind() Kind { return KindReport }

// Kind returns KindAnnounce.
func (*Announce) Kind() Kind { return KindAnnounce }

// Kind returns KindAnnounced.
func (*Announced) Kind() Kind { return KindAnnounced }

// Kind returns KindDirectory.
func (*Directory) Kind() Kind { return KindDirectory }

// Kind returns KindConfigFetch.
func (*ConfigFetch) Kind() Kind { return KindConfigFetch }

// Kind returns KindConfigPush.
func (*ConfigPush) Kind() Kind { return KindConfigPush }

// Kind returns KindClaim.
func (*Claim) Kind() Kind { return KindClaim }

// Kind returns KindClaimReply.
func (*ClaimReply) Kind() Kind { return KindClaimReply }

// Kind returns KindResolve.
func (*Resolve) Kind() Kind { return KindResolve }

// Kind returns KindRaft.
func (*Raft) Kind() Kind { return KindRaft }

// Kind returns KindPing.
func (*Ping) Kind() Kind { return KindPing }

// Kind returns KindPong.
func (*Pong) Kind() Kind { return KindPong }

// Kind returns KindPropose.
func (*Propose) Kind() Kind { return KindPropose }

// Kind returns KindProposed.
func (*Proposed) Kind() Kind { return KindProposed }

// New returns an empty message of kind k.
func New(k Kind) (Message, error) {
	switch k {
	case KindHello:
		return new(Hello), nil
	case KindWelcome:
		return new(Welcome), nil
	case KindUpdate:
		return new(Update), nil
	case KindReport:
		return new(Report), nil
	case KindAnnounce:
		return new(Announce), nil
	case KindAnnounced:
		return new(Announced), nil
	case KindDirectory:
		return new(Directory), nil
	case KindConfigFetch:
		return new(ConfigFetch), nil
	case KindConfigPush:
		return new(ConfigPush), nil
	case KindClaim:
		return new(Claim), nil
	case KindClaimReply:
		return new(ClaimReply), nil
	case KindResolve:
		return new(Resolve), nil
	case KindRaft:
		return new(Raft), nil
	case KindPing:
		return new(Ping), nil
	case KindPong:
		return new(Pong), nil
	case KindPropose:
		return new(Propose), nil
	case KindProposed:
		return new(Proposed), nil
	}
	return nil, fmt.Errorf("wire: unknown message kind %d", k)
}
