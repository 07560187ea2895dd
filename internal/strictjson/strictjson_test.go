package strictjson

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

type inner struct {
	Host string `json:"host"`
	Any  any    `json:"any"`
}

type embedded struct {
	Deep string `json:"deep"`
}

type document struct {
	embedded
	Version  *uint64          `json:"version"`
	Routes   []inner          `json:"routes" strictjson:"required"`
	ByName   map[string]inner `json:"byName"`
	Raw      json.RawMessage  `json:"raw"`
	Bytes    []byte           `json:"bytes"`
	Untagged string
	Skipped  string `json:"-"`
}

// Text that package json repairs was accepted and served as something else.
func TestRepairedTextIsRefused(t *testing.T) {
	for name, text := range map[string]string{
		"not UTF-8":              "{\"routes\":[{\"host\":\"a\xff\"}]}",
		"not UTF-8 in a key":     "{\"routes\":[],\"\xff\":1}",
		"not UTF-8, key unknown": "{\"routes\":[],\"x\":\"\xff\"}",
		"high half":              `{"routes":[{"host":"a\ud83d"}]}`,
		"low half":               `{"routes":[{"host":"a\ude00b"}]}`,
		"two high halves":        `{"routes":[{"host":"\ud83d\ud83d"}]}`,
		"high half and a letter": `{"routes":[{"host":"\ud83d\u0041"}]}`,
		"half in any value":      `{"routes":[{"any":["\ud83d"]}]}`,
		"half in a key":          `{"routes":[],"byName":{"\ud83d":{}}}`,
		"key twice":              `{"routes":[],"routes":[]}`,
		"key twice, escaped":     `{"routes":[],"r\u006futes":[]}`,
		"key twice, below":       `{"routes":[{"host":"a","host":"b"}]}`,
		"key twice, in a map":    `{"routes":[],"byName":{"a":{},"a":{}}}`,
		"key twice, any value":   `{"routes":[{"any":{"a":1,"a":2}}]}`,
		"key twice, embedded":    `{"routes":[],"deep":"a","deep":"b"}`,
		"key in other case":      `{"routes":[],"Version":1}`,
		"both cases":             `{"routes":[],"version":1,"Version":1}`,
		"other case below":       `{"routes":[{"Host":"a"}]}`,
		"untagged, other case":   `{"routes":[],"untagged":"a"}`,
		"required, missing":      `{"version":1}`,
		"required, null":         `{"routes":null}`,
		"required, other case":   `{"Routes":[]}`,
		"two values":             `{"routes":[]} {}`,
	} {
		t.Run(name, func(t *testing.T) {
			var refused *Error
			require.ErrorAs(t, Unmarshal([]byte(text), new(document)), &refused)
			require.LessOrEqual(t, refused.Offset, len(text))
		})
	}
}

func TestPlainTextIsDecoded(t *testing.T) {
	for name, text := range map[string]string{
		"unknown keys":          `{"routes":[],"x":1,"x":2,"y":{"a":1,"a":2,"host":[]}}`,
		"spaces":                " {\n\t\"routes\" : [ { \"host\" : \"a\" , \"any\" : [ 1 , { } , null ] } , { } ] , \"version\" : 1 }\r\n",
		"pair":                  `{"routes":[{"host":"\ud83d\ude00"}]}`,
		"escapes":               `{"routes":[{"host":"\\ud83d\"\u00e4\\"}]}`,
		"replacement character": `{"routes":[{"host":"�\ufffd"}]}`,
		"half in a raw value":   `{"routes":[],"raw":{"a":"\ud83d","a":1}}`,
		"half in an ignored":    `{"routes":[],"x":"\ud83d"}`,
		"bytes":                 `{"routes":[],"bytes":"QUJD"}`,
		"null":                  `{"routes":[],"version":null,"byName":null}`,
		"same key of others":    `{"routes":[{"host":"a"},{"host":"b"}],"byName":{"a":{"host":"a"},"b":{"host":"b"}}}`,
	} {
		t.Run(name, func(t *testing.T) {
			got, want := new(document), new(document)
			require.NoError(t, Unmarshal([]byte(text), got))
			require.NoError(t, json.Unmarshal([]byte(text), want))
			require.Equal(t, want, got)
		})
	}
}

func TestUnmarshalKnownRefusesUnknownKeys(t *testing.T) {
	require.NoError(t, UnmarshalKnown([]byte(`{"routes":[]}`), new(document)))
	require.ErrorContains(t, UnmarshalKnown([]byte(`{"routes":[],"x":1}`), new(document)), "x")
}

func TestErrorsOfPackageJSONAreKept(t *testing.T) {
	var syntax *json.SyntaxError
	require.ErrorAs(t, Unmarshal([]byte(`{"routes":[}`), new(document)), &syntax)
	var typed *json.UnmarshalTypeError
	require.ErrorAs(t, Unmarshal([]byte(`{"routes":1}`), new(document)), &typed)
	require.Error(t, Unmarshal(nil, new(document)))
}

// Check ends on any JSON, and accepts what was encoded from Go values.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(`{"routes":[{"host":"a\ud83d\ude00"},null],"byName":{"a":{"any":[1,"b"]}},"raw":[{}]}`))
	f.Add([]byte(`[[],{},"\u0000\\",-1e5,true,null]`))
	f.Add([]byte(strings.Repeat("[", 100) + strings.Repeat("]", 100)))
	f.Fuzz(func(t *testing.T, text []byte) {
		var d document
		if err := Unmarshal(text, &d); err == nil {
			again, err := json.Marshal(&d)
			require.NoError(t, err)
			require.NoError(t, Unmarshal(again, new(document)), string(again))
		}
		var v any
		if err := Unmarshal(text, &v); err == nil {
			again, err := json.Marshal(v)
			require.NoError(t, err)
			require.NoError(t, Unmarshal(again, &v), string(again))
		}
	})
}
