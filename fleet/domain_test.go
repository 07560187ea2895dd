package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func evacuate(t *testing.T, doc *Document, domain string, evacuated bool) *Document {
	t.Helper()
	next, err := doc.WithEvacuation(domain, evacuated)
	require.NoError(t, err)
	return next
}

func TestEvacuationIsTakenBack(t *testing.T) {
	plain := parse(t)
	doc := evacuate(t, evacuate(t, plain, "sv-b", true), "Rack.7", true)
	require.Equal(t, []string{"Rack.7", "sv-b"}, doc.EvacuatedDomains())
	require.True(t, doc.Effective("sv-b").Evacuated("Rack.7"))
	require.Same(t, doc, evacuate(t, doc, "sv-b", true))
	require.Same(t, plain, evacuate(t, plain, "sv-b", false))
	doc = evacuate(t, evacuate(t, doc, "Rack.7", false), "sv-b", false)
	require.Equal(t, plain.Digest(), doc.Digest())
	_, err := plain.WithEvacuation("a b", true)
	require.ErrorContains(t, err, `"a b" can't name a failure domain`)
}

// Operators apply the text of the version in force again, and a file can neither
// order an evacuation nor withdraw one.
func TestFilesHoldNoOrdersForDomains(t *testing.T) {
	doc := evacuate(t, parse(t), "sv-a", true)
	again, err := Parse([]Source{{File: "base.ini", Text: doc.Format("")}, {Site: "sv-b", File: "sv-b.ini", Text: doc.Format("sv-b")}})
	require.NoError(t, err)
	require.Equal(t, parse(t).Digest(), again.Digest())
	merged, err := again.WithDomainsOf(doc)
	require.NoError(t, err)
	require.Equal(t, doc.Digest(), merged.Digest())
	back, err := doc.WithDomainsOf(Empty())
	require.NoError(t, err)
	require.Empty(t, back.EvacuatedDomains())
	for _, src := range [][]Source{
		{{File: "base.ini", Text: []byte("[retry]\n[domain sv-a]\nevacuated = true\n")}},
		{{File: "base.ini"}, {Site: "sv-b", File: "sv-b.ini", Text: []byte("[domain sv-a]\n")}},
	} {
		_, err = Parse(src)
		require.ErrorContains(t, err, "[domain sv-a]: orders for failure domains are not part of the files; valid: the commands fireflytray evacuate")
	}
}
