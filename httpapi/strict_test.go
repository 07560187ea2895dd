package httpapi

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// A body that package json repairs ran other tasks, or for another team, than a caller had
// sent. A payload is passed on as it is and only has to be UTF-8.
func TestBodyThatWouldBeRepairedIsRefused(t *testing.T) {
	for name, body := range map[string]string{
		"not UTF-8":          "{\"team\":\"a\xff\",\"tasks\":[{}]}",
		"payload not UTF-8":  "{\"team\":\"a\",\"tasks\":[{\"payload\":\"\xff\"}]}",
		"surrogate half":     `{"team":"a\ud83d","tasks":[{}]}`,
		"tasks twice":        `{"team":"a","tasks":[{}],"tasks":[{},{}]}`,
		"team in other case": `{"Team":"a","tasks":[{}]}`,
		"needs of a task twice": `{"team":"a","tasks":[{"need":{"cpu":1,
			"cpu":2}}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := decodeJob("s", "", []byte(body), 10)
			require.Error(t, err)
			_, ok := errorPosition(err)
			require.True(t, ok, "%v has no position", err)
		})
	}
	const payload = `{"a":"\ud83d","a":1,"A":2}`
	s, _, err := decodeJob("s", "", []byte(`{"team":"a","tasks":[{"payload":`+payload+`}]}`), 10)
	require.NoError(t, err)
	require.Equal(t, json.RawMessage(payload), json.RawMessage(s.Tasks[0].Payload))
}
