package e2e

import (
	"crypto/tls"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/httpapi"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// The exit codes that docs/OPERATIONS.md promises.
const (
	exitFailed = 1
	exitUsage  = 2
)

// What keeps a program from starting is said, with its exit code.
func TestProgramsRefuseToStart(t *testing.T) {
	c := prepareCluster(t)
	stray := func(p *process) string { return "[process]\nid = a b\n[listen]\nspeed = 3\n" }
	otherRole := func(p *process) string {
		return replaceInSettings(t, c, p, "folder = keys/"+p.name, "folder = keys/operator")
	}
	for _, x := range []struct {
		name string
		p    *process
		text func(*process) string
		code int
		want []string
	}{
		{"control settings", c.controls[0], stray, exitUsage, []string{"bad.ini:2: [process] id", "bad.ini:4: [listen] speed"}},
		{"entry settings", c.entries[0], stray, exitUsage, []string{"bad.ini:2: [process] id", "bad.ini:4: [listen] speed"}},
		{"agent settings", c.agents[0], stray, exitUsage, []string{"bad.ini:2: [process] id", "bad.ini:4: [listen] speed"}},
		{"upstream settings", c.upstreams[0], stray, exitUsage, []string{"bad.ini:2: [process] id", "bad.ini:4: [listen] speed"}},
		{"control keys", c.controls[0], otherRole, exitFailed, []string{"names operator operator (domain-a), settings name control control-1 (domain-a)"}},
		{"entry keys", c.entries[0], otherRole, exitFailed, []string{"names operator operator (domain-a), settings name entry entry-1 (domain-a)"}},
		{"agent keys", c.agents[0], otherRole, exitFailed, []string{"names operator operator (domain-a), settings name agent agent-1 (domain-a)"}},
	} {
		t.Run(x.name, func(t *testing.T) {
			path := c.path("bad.ini")
			require.NoError(t, os.WriteFile(path, []byte(x.text(x.p)), fileMode))
			args := append([]string(nil), x.p.args[:len(x.p.args)-1]...)
			bad := &process{name: "bad", args: append(args, path), logPath: c.path("bad-" + x.p.name + "-" + time.Now().Format("150405.000000") + ".log")}
			bad.start(t)
			defer bad.kill()
			require.Equal(t, x.code, bad.awaitExit(t), bad.readLog(t))
			for _, want := range x.want {
				require.Contains(t, bad.readLog(t), want)
			}
		})
	}
}

// replaceInSettings is the text of a process's settings with one part replaced.
func replaceInSettings(t *testing.T, c *cluster, p *process, old, new string) string {
	t.Helper()
	text, err := os.ReadFile(c.path(p.name + ".ini"))
	require.NoError(t, err)
	require.Contains(t, string(text), old)
	return strings.Replace(string(text), old, new, 1)
}

// A second control daemon on a data folder in use ends with an error, on the
// same addresses and on others, and the first goes on.
func TestSecondControlOnSameData(t *testing.T) {
	c := newCluster(t)
	text := replaceInSettings(t, c, c.controls[0], c.adminAddrs[0], freeAddr(t))
	elsewhere := strings.ReplaceAll(text, c.controlAddrs[0], freeAddr(t))
	for _, x := range []struct{ name, text, want string }{
		{"again-elsewhere", elsewhere, "another process uses the data folder"},
		{"again", text, "address already in use"},
	} {
		second := c.addProcess("control-1-"+x.name, x.text, "fireflytray-control")
		second.start(t)
		require.Equal(t, exitFailed, second.awaitExit(t), second.readLog(t))
		require.Contains(t, second.readLog(t), x.want)
		require.True(t, c.controls[0].running())
	}
	c.awaitVoters()
}

// A request that can't be taken is refused as not run, with its fault; a
// certificate of another role reaches no operator's page.
func TestBadRequests(t *testing.T) {
	c := newCluster(t)
	jobs := "/v1/services/" + service + "/jobs"
	requests := "/v1/services/" + service + "/requests"
	for _, x := range []struct {
		name   string
		path   string
		header map[string]string
		body   []byte
		status int
		reason task.Reason
		detail string
	}{
		{"malformed job", jobs, nil, []byte("{\n\"tasks\": [}"), http.StatusBadRequest, httpapi.ReasonBadRequest, "line 2"},
		{"unknown field", jobs, nil, []byte(`{"taks":[]}`), http.StatusBadRequest, httpapi.ReasonBadRequest, "taks"},
		{"bad deadline", requests, map[string]string{httpapi.HeaderDeadline: "soon"}, nil, http.StatusBadRequest, httpapi.ReasonBadRequest, httpapi.HeaderDeadline},
		{"unknown service", "/v1/services/other/requests", nil, nil, http.StatusNotFound, task.ReasonUnknownService, "other"},
		{"unknown team", requests, map[string]string{httpapi.HeaderTeam: "nobody"}, nil, http.StatusForbidden, task.ReasonUnknownTeam, "nobody"},
		{"body above the entry's limit", requests, nil, make([]byte, 1<<20), http.StatusRequestEntityTooLarge, task.ReasonTooLarge, ""},
		{"body above the service's limit", requests, nil, make([]byte, 1<<17), http.StatusRequestEntityTooLarge, task.ReasonTooLarge, "65536"},
		{"never fits", requests, map[string]string{httpapi.HeaderNeed: "accelerators=9"}, nil, http.StatusUnprocessableEntity, task.ReasonNeverFits, "accelerators"},
	} {
		t.Run(x.name, func(t *testing.T) {
			a := c.post(0, x.path, x.header, x.body)
			require.NoError(t, a.err)
			require.Equal(t, x.status, a.status, a.String())
			require.Equal(t, x.reason, a.problem.Reason, a.String())
			require.Equal(t, notRun, a.state, a.String())
			require.Contains(t, a.problem.Detail, x.detail)
		})
	}
	require.Empty(t, c.startCounts())
	c.requireRoleRejected("agent-1")
	c.requireRoleRejected("entry-1")
}

// requireRoleRejected requires that the operators' interface refuses a process's
// certificate, and that the operators' command says so.
func (c *cluster) requireRoleRejected(id string) {
	c.t.Helper()
	identity, err := keys.Load(c.path("keys", id))
	require.NoError(c.t, err)
	conn, err := tls.Dial("tcp", c.adminAddrs[0], identity.ClientTLS(wire.RoleControl))
	require.NoError(c.t, err)
	defer conn.Close()
	require.NoError(c.t, conn.SetDeadline(time.Now().Add(adminTimeout)))
	// The client's end of the handshake comes before the server's verdict.
	_, err = conn.Read(make([]byte, 1))
	require.ErrorContains(c.t, err, "bad certificate")

	list := &process{
		name:    "list-as-" + id,
		args:    []string{binaryPath("fireflytray"), "control", "list", "--admin", c.adminAddrs[0], "--keys", c.path("keys", id)},
		logPath: c.path("list-as-" + id + ".log"),
	}
	list.start(c.t)
	defer list.kill()
	require.Equal(c.t, exitUsage, list.awaitExit(c.t), list.readLog(c.t))
	require.Contains(c.t, list.readLog(c.t), "names "+identity.Name().String()+": role not accepted, want operator")
}
