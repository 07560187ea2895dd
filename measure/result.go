// Package measure reproduces the slopes used in docs/CAPACITY.md: the cost of each
// role as a function of the number of peers, task starts and configuration changes.
// It measures reducers in this process and a fleet of processes that it starts on
// loopback, and fits straight lines to the results.
package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"text/tabwriter"
)

// File names of a result.
const (
	ResultFile = "result.json"
	textFile   = "result.txt"
)

const (
	fileMode = 0o644
	dirMode  = 0o755
)

// Axis is the independent variable of a series.
type Axis string

// Axes of the series.
const (
	AxisAgents  Axis = "agents"
	AxisEntries Axis = "entries"
	AxisStarts  Axis = "task starts/s"
	AxisChanges Axis = "changes"
	AxisClaims  Axis = "claims"
	AxisTasks   Axis = "tasks a message"
)

// Series is one quantity measured as a function of one axis.
type Series struct {
	// Name has the form role.quantity.axis and is the base name of the plot file.
	Name   string  `json:"name"`
	Axis   Axis    `json:"axis"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// Host describes the machine and the build of a run.
type Host struct {
	Cores    int    `json:"cores"`
	Go       string `json:"go"`
	Arch     string `json:"arch"`
	Revision string `json:"revision"`
}

// Result is the measurements of one run.
type Result struct {
	Host   Host     `json:"host"`
	Series []Series `json:"series"`
	// Kinds has the traffic of idle processes by kind of message.
	Kinds []KindRate `json:"kinds"`
}

// KindRate is the traffic per second of one kind of message at one process.
type KindRate struct {
	Fleet  string `json:"fleet"`
	Agents int    `json:"agents"`
	Role   string `json:"role"`
	Kind   string `json:"kind"`
	Traffic
}

func newResult() *Result {
	h := Host{Cores: runtime.NumCPU(), Go: runtime.Version(), Arch: runtime.GOARCH, Revision: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				h.Revision = s.Value
			}
		}
	}
	return &Result{Host: h}
}

// add fits a line to a series and appends the series.
func (r *Result) add(s Series) error {
	fit, err := fitLine(s.Points)
	if err != nil {
		return fmt.Errorf("%s: %w", s.Name, err)
	}
	s.Fit = fit
	r.Series = append(r.Series, s)
	return nil
}

// Find returns the series with the given name.
func (r *Result) Find(name string) (Series, bool) {
	for _, s := range r.Series {
		if s.Name == name {
			return s, true
		}
	}
	return Series{}, false
}

// ReadResult reads the result file in a folder.
func ReadResult(dir string) (*Result, error) {
	b, err := os.ReadFile(filepath.Join(dir, ResultFile))
	if err != nil {
		return nil, fmt.Errorf("measure: %w", err)
	}
	r := new(Result)
	if err := json.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("measure: decode %s in %s: %w", ResultFile, dir, err)
	}
	return r, nil
}

// write writes the result, its text form and its plots into a folder.
func (r *Result) write(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("measure: encode result: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, ResultFile), append(b, '\n'), fileMode); err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	f, err := os.Create(filepath.Join(dir, textFile))
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	defer f.Close()
	if err := r.WriteText(f); err != nil {
		return err
	}
	for i := range r.Series {
		if err := r.Series[i].plot(dir); err != nil {
			return err
		}
	}
	return nil
}

// WriteText writes a human-readable report with the fitted line of every series.
func (r *Result) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%d cores, %s %s, revision %s\n", r.Host.Cores, r.Host.Go, r.Host.Arch, r.Host.Revision)
	fmt.Fprintf(w, "SERIES\tAXIS\tUNIT\tPOINTS\tSLOPE\tINTERCEPT\tR2\n")
	for _, s := range r.Series {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.3f\n",
			s.Name, s.Axis, s.Unit, pointsText(s.Points), s.Fit.Slope, s.Fit.Intercept, s.Fit.R2)
	}
	fmt.Fprintf(w, "\nFLEET\tAGENTS\tROLE\tKIND\tMESSAGES/S\tBYTES/S\n")
	for _, k := range r.Kinds {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%.2f\t%.0f\n", k.Fleet, k.Agents, k.Role, k.Kind, k.Messages, k.Bytes)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("measure: write result: %w", err)
	}
	return nil
}

func pointsText(points []Point) string {
	text := ""
	for _, p := range points {
		text += fmt.Sprintf("(%.4g, %.4g) ", p.X, p.Y)
	}
	return text
}
