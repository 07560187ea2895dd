package controld

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/adminapi"
)

// An operator's call that package json repairs proposed another configuration.
func TestAdminCallThatWouldBeRepairedIsRefused(t *testing.T) {
	decode := func(body string) error {
		var rc fasthttp.RequestCtx
		rc.Request.SetBodyString(body)
		call := &adminCall{RequestCtx: &rc}
		return call.decode(new(adminapi.ConfigRequest))
	}
	require.NoError(t, decode(`{"sources":[{"site":"","text":"[retry]"}],"later":1}`))
	for _, body := range []string{
		"{\"sources\":[{\"text\":\"[retry]\xff\"}]}",
		`{"sources":[{"text":"\ud83d"}]}`,
		`{"sources":[],"sources":[{"text":"[retry]"}]}`,
		`{"Sources":[]}`,
	} {
		var problem *adminapi.Problem
		require.ErrorAs(t, decode(body), &problem, body)
		require.Equal(t, fasthttp.StatusBadRequest, problem.Status)
	}
}
