package inifile

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Every key has its line number, and a value excludes quotes and trailing
// comments.
func TestParse(t *testing.T) {
	text := "# top\n[service alert-core]\nmax-tasks = 140 ; most\n\n[team night-nurses]\nname = \"a # b\"\nrange = 5:6;7#8\nempty =\n"
	f, problems := Parse("base.ini", []byte(text))
	require.NoError(t, problems.Err())
	require.Equal(t, []*Section{
		{Name: "service alert-core", Line: 2, Keys: []Key{{"max-tasks", "140", 3}}},
		{Name: "team night-nurses", Line: 5, Keys: []Key{{"name", "a # b", 6}, {"range", "5:6;7#8", 7}, {"empty", "", 8}}},
	}, f.Sections)
}

// All syntax errors are reported, each with its line number.
func TestParseReportsAll(t *testing.T) {
	text := strings.Join([]string{
		"early = 1",
		"[a]",
		"x = 1",
		"x = 2",
		"no delimiter",
		"[b",
		"[a]",
		"y = \"\"\"open",
		"z: 3",
	}, "\n")
	_, problems := Parse("f.ini", []byte(text))
	require.EqualError(t, problems.Err(), strings.Join([]string{
		`f.ini:1: early: key before the first [section]`,
		`f.ini:4: [a] x: key appears twice, first on line 3`,
		`f.ini:5: [a] line "no delimiter": want key = value`,
		`f.ini:6: [b] section header "[b": want [name]`,
		`f.ini:7: [a] section appears twice, first on line 2`,
		`f.ini:8: [a] y: value can't be read, want plain text or text in closed quotes`,
		`f.ini:9: [a] line "z: 3": want key = value`,
	}, "\n"))
}

func FuzzParse(f *testing.F) {
	f.Add("[a]\nx = 1 # c\ny = \"q\"\n")
	f.Add("[a\n= \n`k` = v\\\n[]\nx = `")
	f.Fuzz(func(t *testing.T, text string) {
		file, problems := Parse("f.ini", []byte(text))
		lines := strings.Count(text, "\n") + 1
		for _, p := range problems {
			require.LessOrEqual(t, p.Line, lines)
		}
		for _, s := range file.Sections {
			require.NotEmpty(t, s.Name)
			for _, k := range s.Keys {
				require.NotEmpty(t, k.Name)
				require.NotContains(t, k.Value, "\n")
			}
		}
	})
}
