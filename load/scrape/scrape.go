// Package scrape reads Prometheus pages: the sum of each counter and gauge over
// all its labels.
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

// Page is what a page says, by the name of the metric.
type Page struct {
	Counters map[string]float64
	Gauges   map[string]float64
	// CountersByKind splits the counters that have a label "kind" by its value.
	CountersByKind map[CounterKind]float64
}

// CounterKind is a counter's name with the value of its label "kind".
type CounterKind struct{ Name, Kind string }

const kindLabel = "kind"

// Get reads the page at url.
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

// Parse reads the text of a page.
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
