package httpapi

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A body of a few MiB can hold a million empty tasks, which the decoder would build before
// anybody asks how many there are.
func TestListsAreCountedBeforeTheyAreDecoded(t *testing.T) {
	for text, want := range map[string]int{
		`{}`: 1, `{"tasks":[]}`: 1, `{"tasks":[{}]}`: 1, `{"tasks":[{},{},{}]}`: 3,
		`{"team":"a,b","tasks":[{"payload":[1,2,3,4]},{"need":{"cpu":1,"memory_mb":2}}]}`: 2,
		`{"team":"\",[,,,\\","tasks":[1,2],"deadline_ms":5,"wait":true}`:                  2,
		`{"tasks":[{},{}],"x":[1,2,3]}`:                                                   3,
		`{"tasks":[{},{}`:                                                                 2,
		`{"tasks":["`:                                                                     1,
	} {
		require.Equal(t, want, longestList([]byte(text)), text)
	}
	const tasks = 500_000
	body := `{"team":"a","tasks":[{}` + strings.Repeat(`,{}`, tasks-1) + `]}`
	_, _, err := decodeJob("s", "", []byte(body), 10)
	require.Equal(t, tooManyTasksError{tasks, 10}, err)
}
