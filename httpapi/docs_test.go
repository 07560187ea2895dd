package httpapi

import (
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
)

const apiPage = "../docs/API.md"

func readPage(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile(apiPage)
	require.NoError(t, err)
	return string(b)
}

// shellWords splits a command as a shell does, as far as the page goes.
func shellWords(s string) []string {
	var words []string
	var word strings.Builder
	quoted, open := false, false
	for _, c := range strings.ReplaceAll(s, "\\\n", " ") {
		switch {
		case c == '\'':
			quoted, open = !quoted, true
		case !quoted && (c == ' ' || c == '\n'):
			if open {
				words = append(words, word.String())
			}
			word.Reset()
			open = false
		default:
			word.WriteRune(c)
			open = true
		}
	}
	if open {
		words = append(words, word.String())
	}
	return words
}

// runCurl carries out a curl command of the page.
func runCurl(t *testing.T, command string) response {
	t.Helper()
	words := shellWords(command)
	require.Equal(t, "curl", words[0])
	method, url, body := "GET", "", ""
	var headers []string
	for i := 1; i < len(words); i++ {
		switch words[i] {
		case "-sS":
		case "-X":
			i++
			method = words[i]
		case "-H":
			i++
			name, value, _ := strings.Cut(words[i], ": ")
			headers = append(headers, name, value)
		case "-d":
			i++
			method, body = "POST", words[i]
		default:
			url = words[i]
		}
	}
	return mustRequest(t, method, url, []byte(body), headers...)
}

// The page's examples do what it says.
func TestDocumentedExamples(t *testing.T) {
	_, base := startServer(t, &fakeBackend{answer: echo}, Config{})
	blocks := regexp.MustCompile("(?s)```sh\n(.*?)\n# (\\d+)\n```").FindAllStringSubmatch(readPage(t), -1)
	require.Greater(t, len(blocks), 8)
	job := ""
	for _, b := range blocks {
		command := strings.ReplaceAll(b[1], "http://entry:8080", base)
		r := runCurl(t, strings.ReplaceAll(command, "$JOB", job))
		want, err := strconv.Atoi(b[2])
		require.NoError(t, err)
		require.Equal(t, want, r.status, "%s\n%s", command, r.body)
		if want == 202 && job == "" {
			job = r.header.Get(HeaderSubmission)
		}
	}
}

// The page lists every reason under its status.
func TestDocumentedReasons(t *testing.T) {
	want := map[string][]string{}
	for reason, row := range statuses {
		if reason != task.ReasonNone {
			code := strconv.Itoa(row.code)
			want[code] = append(want[code], string(reason))
		}
	}
	got := map[string][]string{}
	rows := regexp.MustCompile(`(?m)^\| (\d{3}) \| (.*) \|$`).FindAllStringSubmatch(readPage(t), -1)
	for _, row := range rows {
		for _, r := range strings.Split(row[2], ", ") {
			got[row[1]] = append(got[row[1]], strings.Trim(r, "`"))
		}
	}
	for code := range want {
		slices.Sort(want[code])
	}
	require.Equal(t, want, got)
}
