package logging

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each part has its own prefix. A level set later applies to loggers created
// before and after the change.
func TestPrefixAndLevel(t *testing.T) {
	var out bytes.Buffer
	root, err := New(&out, "warn", FormatJSON)
	require.NoError(t, err)
	raft := root.For(PartRaft)
	raft.Info("not shown")
	require.Empty(t, out.String())
	require.NoError(t, root.SetLevel("info"))
	raft.Info("leader elected", "term", 3)
	root.For(PartEntry).Info("job refused")
	type line struct {
		Prefix, Msg string
		Term        int
	}
	dec := json.NewDecoder(&out)
	var first, second line
	require.NoError(t, dec.Decode(&first))
	require.NoError(t, dec.Decode(&second))
	require.Equal(t, line{"raft", "leader elected", 3}, first)
	require.Equal(t, line{"entry", "job refused", 0}, second)
	require.Error(t, root.SetLevel("loud"))
	_, err = New(&out, "info", "xml")
	require.ErrorContains(t, err, "want text or json")
}
