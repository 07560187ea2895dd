package httpserve

import "sync"

// decoding is held while a large body is decoded.
var decoding sync.Mutex

// Decode calls decode for a body. The values that a decoder builds can take many times the
// body, so that only one large body is decoded at a time.
func Decode(body []byte, decode func()) {
	if len(body) > smallBodyBytes {
		decoding.Lock()
		defer decoding.Unlock()
	}
	decode()
}
