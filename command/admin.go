package command

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/fireflytray/fireflytray/adminapi"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// baseFile is the name of the base file in a configuration folder; every
	// other file NAME.ini there is the overlay of site NAME.
	baseFile      = "base.ini"
	iniSuffix     = ".ini"
	timeLayout    = "2006-01-02 15:04:05"
	retryInterval = 300 * time.Millisecond
)

// adminOptions are the options for connecting to the control hosts.
type adminOptions struct {
	Admin   []string      `long:"admin" env:"FIREFLYTRAY_ADMIN" env-delim:"," value-name:"IP:PORT" description:"Admin address of a control host; several are tried in order"`
	Keys    string        `long:"keys" env:"FIREFLYTRAY_KEYS" default:"operator" value-name:"FOLDER" description:"Folder of the operator's certificate"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"How long to wait for an answer, including retries"`
}

// client returns a client for the control hosts.
func (o *adminOptions) client() (*adminapi.Client, error) {
	if len(o.Admin) == 0 {
		return nil, Exit(ExitUsage, "no control host given, want --admin IP:PORT or FIREFLYTRAY_ADMIN")
	}
	id, err := keys.Load(o.Keys)
	if err != nil {
		return nil, Exit(ExitUsage, "operator's certificate: %w", err)
	}
	// A control host rejects other roles in the TLS handshake, where it cannot
	// explain the error, so the role is checked here first.
	if name := id.Name(); name.Role != wire.RoleOperator {
		return nil, Exit(ExitUsage, "operator's certificate: %s names %s: %w, want %s", o.Keys, name, keys.ErrRole, wire.RoleOperator)
	}
	return adminapi.NewClient(id, o.Admin), nil
}

// get sends one GET request and decodes the answer into out.
func (o *adminOptions) get(env *Env, path, query string, out any) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(env.Context, o.Timeout)
	defer cancel()
	return adminError(client.Get(ctx, path, query, out))
}

// send posts an idempotent request and retries it until it is answered or the
// timeout expires.
func (o *adminOptions) send(env *Env, path string, in, out any) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(env.Context, o.Timeout)
	defer cancel()
	maybeApplied := false
	for {
		err := client.Post(ctx, path, in, out)
		if err == nil || !retryable(err) {
			return adminError(err)
		}
		maybeApplied = maybeApplied || !notApplied(err)
		select {
		case <-time.After(retryInterval):
			continue
		case <-ctx.Done():
		}
		if maybeApplied {
			return Exit(ExitUnknown, "timed out, outcome unknown: %w", err)
		}
		return adminError(err)
	}
}

// retryable reports whether another attempt may succeed.
func retryable(err error) bool {
	var p *adminapi.Problem
	if errors.As(err, &p) {
		return p.Type == adminapi.TypeNotFresh || p.Type == adminapi.TypeUnknown
	}
	return errors.Is(err, adminapi.ErrNoAnswer)
}

// notApplied reports whether err shows that the request was not accepted: the
// control host has no fresh quorum or could not be dialled.
func notApplied(err error) bool {
	var p *adminapi.Problem
	var op *net.OpError
	return errors.As(err, &p) && p.Type == adminapi.TypeNotFresh || errors.As(err, &op) && op.Op == "dial"
}

// adminError wraps an error of the admin interface with its exit code.
func adminError(err error) error {
	var p *adminapi.Problem
	switch {
	case err == nil:
		return nil
	case errors.As(err, &p):
		return Exit(problemExitCodes[p.Type], "%w", err)
	case errors.Is(err, adminapi.ErrNoAnswer):
		return Exit(ExitUnavailable, "%w", err)
	}
	return err
}

var problemExitCodes = map[string]int{
	adminapi.TypeInvalid:    ExitUsage,
	adminapi.TypeBadRequest: ExitUsage,
	adminapi.TypeNotFound:   ExitFailed,
	adminapi.TypeRefused:    ExitNotRun,
	adminapi.TypeUnknown:    ExitUnknown,
	adminapi.TypeNotFresh:   ExitUnavailable,
}

// readSources reads the configuration in a folder: base.ini and the overlays
// SITE.ini.
func readSources(folder string) ([]adminapi.Source, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*"+iniSuffix))
	if err != nil || len(files) == 0 {
		return nil, Exit(ExitUsage, "folder %s has no %s", folder, baseFile)
	}
	slices.Sort(files)
	var sources []adminapi.Source
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, Exit(ExitUsage, "read configuration: %w", err)
		}
		site := ""
		if name := filepath.Base(file); name != baseFile {
			site = strings.TrimSuffix(name, iniSuffix)
		}
		if line := lineNotUTF8(text); line > 0 {
			return nil, Exit(ExitUsage, "%s:%d: the line is not UTF-8", file, line)
		}
		sources = append(sources, adminapi.Source{Site: site, File: file, Text: string(text)})
	}
	return sources, nil
}

// lineNotUTF8 returns the first line that is not UTF-8, from 1 on, or 0.
func lineNotUTF8(text []byte) int {
	n := 0
	for line := range bytes.Lines(text) {
		n++
		if !utf8.Valid(line) {
			return n
		}
	}
	return 0
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// warnStale prints a warning if the answer may be out of date.
func warnStale(env *Env, fresh bool) {
	if !fresh {
		fmt.Fprintln(env.Stderr, "warning: the control host has no fresh quorum; the answer may be out of date")
	}
}

func itoa[T ~uint32 | ~uint64 | ~int](n T) string { return strconv.FormatUint(uint64(n), 10) }

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
