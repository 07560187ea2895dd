// Package scrape reads Prometheus endpoints and sums each counter and gauge over
// all label values.
package scrape

import (
	"bytes"
	"fmt"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/valyala/fasthttp"
)

const timeout = 10 * time.Second

// Page is the content of one scrape, by metric name.
type Page struct {
	Counters map[string]float64
	Gauges   map[string]float64
	// CountersByKind has the counters with a label "kind", summed per value of
	// that label.
	CountersByKind map[CounterKind]float64
}

// CounterKind identifies a counter by its name and the value of its label "kind".
type CounterKind struct{ Name, Kind string }

const kindLabel = "kind"

// Get scrapes the endpoint at url.
func Get(client *fasthttp.Client, url string) (Page, error) {
	status, body, err := client.GetTimeout(nil, url, timeout)
	if err != nil {
		return Page{}, fmt.Errorf("metrics page %s: %w", url, err)
	}
	if status != fasthttp.StatusOK {
		return Page{}, fmt.Errorf("metrics page %s: status %d", url, status)
	}
	p, err := Parse(body)
	if err != nil {
		return Page{}, fmt.Errorf("metrics page %s: %w", url, err)
	}
	return p, nil
}

// Parse parses the Prometheus text format. Histograms and summaries are ignored.
func Parse(body []byte) (Page, error) {
	p := Page{Counters: map[string]float64{}, Gauges: map[string]float64{}, CountersByKind: map[CounterKind]float64{}}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(body))
	if err != nil {
		return p, fmt.Errorf("parse: %w", err)
	}
	for name, f := range families {
		for _, m := range f.Metric {
			switch f.GetType() {
			case dto.MetricType_COUNTER:
				p.addCounter(name, m)
			case dto.MetricType_GAUGE:
				p.Gauges[name] += m.GetGauge().GetValue()
			}
		}
	}
	return p, nil
}

func (p *Page) addCounter(name string, m *dto.Metric) {
	v := m.GetCounter().GetValue()
	p.Counters[name] += v
	for _, l := range m.Label {
		if l.GetName() == kindLabel {
			p.CountersByKind[CounterKind{name, l.GetValue()}] += v
		}
	}
}
