package main

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

const (
	// configApply is configApplyMs.
	configApply = 2 * time.Second
	// firstManifestWithin is far above all bounds of the pages.
	firstManifestWithin = 60 * time.Second
)

// firstStart kills one process that serves control while the system starts for the first
// time. It starts again at once, with the settings of that moment.
func firstStart(ctx context.Context, s *stage) {
	f := s.fleet
	victim := f.fronts[1]
	failed := func(err error) bool {
		if err != nil {
			s.failure = err
		}
		return err != nil
	}
	if failed(f.add(f.fronts[0], "control")) || failed(f.add(victim, "control")) {
		return
	}
	time.Sleep(250 * time.Millisecond)
	p := f.of(victim, "control")
	if s.trouble {
		s.record.note("control of %s is killed", victim.name)
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	if failed(f.add(f.fronts[2], "control")) {
		return
	}
	time.Sleep(200 * time.Millisecond)
	if s.trouble {
		template, err := os.ReadFile(filepath.Join(f.root, "deploy", "control.ini"))
		if failed(err) || failed(p.writeSettings(f.render(string(template), victim, false))) || failed(f.launch(p)) {
			return
		}
	}
	sending, cancel := context.WithTimeout(ctx, firstManifestWithin)
	defer cancel()
	if err := f.publish(sending, 1, manifest(1, host)); err != nil {
		s.record.violation("CONFIG: the first manifest is not acknowledged in %s: %v", firstManifestWithin, err)
	}
	for _, m := range f.fronts[:3] {
		if status, _ := f.readManifest(m); status != http.StatusOK {
			s.record.violation("CONFIG: %s gives no manifest, status %d", m.name, status)
		}
	}
}

// capitals changes the manifest to one whose host is written with a capital letter.
func capitals(ctx context.Context, s *stage) {
	name := "nony24.example"
	if s.trouble {
		name = "Nony24.example"
	}
	s.changeHost(ctx, manifest(2, name))
	for _, m := range s.fleet.fronts {
		j := short(s.rng)
		j.host = name
		if status := s.fleet.send(ctx, m, j); status == http.StatusNotFound {
			s.record.violation("CONFIG: %s answers 404 to a request for %s%s, though the route is there", m.name, name, prefix)
		}
	}
}

// damagedByte sends a manifest of which one byte was damaged, so that it is no JSON text.
func damagedByte(ctx context.Context, s *stage) {
	body := manifest(2, host)
	if s.trouble {
		body = bytes.Replace(slices.Clone(body), []byte(host), []byte("non\xff24.example"), 1)
	}
	acknowledged := s.changeHost(ctx, body)
	if s.trouble && acknowledged {
		s.record.violation("CONFIG: a manifest with a byte that is not UTF-8 is acknowledged")
	}
	for _, m := range s.fleet.fronts {
		if status := s.fleet.send(ctx, m, short(s.rng)); status == http.StatusNotFound {
			s.record.violation("CONFIG: %s answers 404 to a request for %s%s, which only the damaged manifest drops", m.name, host, prefix)
		}
	}
}

// changeHost sends manifest 2 for some seconds and waits until it is in force. It reports
// whether it was acknowledged.
func (s *stage) changeHost(ctx context.Context, body []byte) bool {
	sending, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	err := s.fleet.publish(sending, 2, body)
	if err != nil {
		s.record.note("%v", err)
	}
	time.Sleep(configApply + time.Second)
	for _, m := range s.fleet.fronts[:3] {
		_, _ = s.fleet.readManifest(m)
	}
	return err == nil
}
