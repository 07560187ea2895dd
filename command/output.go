package command

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// Table is human-readable output in columns.
type Table struct {
	Header []string
	Rows   [][]string
}

const (
	columnGap  = 2
	jsonIndent = "  "
)

// Print writes v as JSON with --json, and the table otherwise.
func (e *Env) Print(v any, table func() Table) error {
	if e.JSON {
		return e.printJSON(v)
	}
	return e.printTable(table())
}

func (e *Env) printJSON(v any) error {
	enc := json.NewEncoder(e.Stdout)
	enc.SetIndent("", jsonIndent)
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("print JSON: %w", err)
	}
	return nil
}

func (e *Env) printTable(t Table) error {
	w := tabwriter.NewWriter(e.Stdout, 0, 0, columnGap, ' ', 0)
	if len(t.Header) > 0 {
		fmt.Fprintln(w, strings.ToUpper(strings.Join(t.Header, "\t")))
	}
	for _, row := range t.Rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}
