package strictjson

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Text of an operator's file that is not UTF-8 was sent as other text.
func TestMarshalRefusesTextThatIsNotUTF8(t *testing.T) {
	type value struct {
		Name  string            `json:"name"`
		Names []string          `json:"names"`
		Map   map[string]string `json:"map"`
		Raw   []byte            `json:"raw"`
		Next  *value            `json:"next"`
		N     [1]int            `json:"n"`
	}
	good := value{Name: "ß�", Names: []string{"a"}, Map: map[string]string{"k": "v"}, Raw: []byte{0xff}, Next: &value{Name: "x"}}
	text, err := Marshal(good)
	require.NoError(t, err)
	var read value
	require.NoError(t, Unmarshal(text, &read))
	require.Equal(t, good, read)
	for name, bad := range map[string]value{
		"string": {Name: "a\xff"}, "slice": {Names: []string{"a", "\xc3"}}, "map key": {Map: map[string]string{"\xff": ""}},
		"map value": {Map: map[string]string{"k": "\xff"}}, "pointer": {Next: &value{Name: "\xed\xa0\x80"}},
	} {
		_, err := Marshal(bad)
		require.ErrorContains(t, err, "is not UTF-8", name)
	}
}
