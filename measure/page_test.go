package measure

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/load/workload"
)

const (
	docsDir      = "../docs"
	capacityPage = docsDir + "/CAPACITY.md"
	// pageTolerance is the relative rounding allowed on the page.
	pageTolerance = 0.01
)

// tableRow is a row of a table of the page, by the header's names.
type tableRow map[string]string

// readTable returns the rows of the first table below a heading.
func readTable(t *testing.T, page, heading string) []tableRow {
	t.Helper()
	_, rest, found := strings.Cut(page, "\n## "+heading+"\n")
	require.True(t, found, "no heading %q", heading)
	var header []string
	var rows []tableRow
	for line := range strings.Lines(rest) {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "## "), line == "" && header != nil:
			return rows
		case !strings.HasPrefix(line, "|"), strings.HasPrefix(line, "|---"):
		case header == nil:
			header = cells(line)
		default:
			row := tableRow{}
			for i, c := range cells(line) {
				row[header[i]] = c
			}
			rows = append(rows, row)
		}
	}
	return rows
}

func cells(line string) []string {
	parts := strings.Split(strings.Trim(line, "|"), "|")
	for i := range parts {
		parts[i] = strings.Trim(strings.TrimSpace(parts[i]), "`")
	}
	return parts
}

// evaluate computes an arithmetic expression over names.
func evaluate(expr string, names map[string]float64) (float64, error) {
	tree, err := parser.ParseExpr(expr)
	if err != nil {
		return 0, fmt.Errorf("%q: %w", expr, err)
	}
	return evaluateTree(tree, names)
}

func evaluateTree(e ast.Expr, names map[string]float64) (float64, error) {
	switch e := e.(type) {
	case *ast.BasicLit:
		return strconv.ParseFloat(e.Value, 64)
	case *ast.ParenExpr:
		return evaluateTree(e.X, names)
	case *ast.Ident:
		v, ok := names[e.Name]
		if !ok {
			return 0, fmt.Errorf("no value of %s", e.Name)
		}
		return v, nil
	case *ast.BinaryExpr:
		return evaluateBinary(e, names)
	}
	return 0, fmt.Errorf("%T is no arithmetic", e)
}

func evaluateBinary(e *ast.BinaryExpr, names map[string]float64) (float64, error) {
	x, err := evaluateTree(e.X, names)
	if err != nil {
		return 0, err
	}
	y, err := evaluateTree(e.Y, names)
	if err != nil {
		return 0, err
	}
	switch e.Op {
	case token.ADD:
		return x + y, nil
	case token.SUB:
		return x - y, nil
	case token.MUL:
		return x * y, nil
	case token.QUO:
		return x / y, nil
	}
	return 0, fmt.Errorf("%v is no arithmetic", e.Op)
}

func number(t *testing.T, row tableRow, column string) float64 {
	t.Helper()
	v, err := strconv.ParseFloat(row[column], 64)
	require.NoError(t, err, "%v", row)
	return v
}

func requireClose(t *testing.T, want, got float64, what string) {
	t.Helper()
	require.LessOrEqual(t, math.Abs(got-want), pageTolerance*math.Abs(want)+1e-12, "%s: %v on the page, %v computed", what, got, want)
}

// readPageValues returns the values of all names on the page, and which of them are
// estimated. Slopes are checked against the run that the page names.
func readPageValues(t *testing.T, page string) (names map[string]float64, estimated map[string]bool) {
	t.Helper()
	names, estimated = map[string]float64{}, map[string]bool{}
	for _, row := range readTable(t, page, "Inputs") {
		v, err := evaluate(row["from"], names)
		if err == nil {
			requireClose(t, v, number(t, row, "value"), row["name"])
		}
		names[row["name"]] = number(t, row, "value")
	}
	for _, row := range readTable(t, page, "Slopes") {
		names[row["name"]] = number(t, row, "value")
		estimated[row["name"]] = row["run"] == "estimated"
		if !estimated[row["name"]] {
			checkSlope(t, row)
		}
	}
	return names, estimated
}

// checkSlope compares a slope of the page with the run that it names.
func checkSlope(t *testing.T, row tableRow) {
	t.Helper()
	r, err := ReadResult(filepath.Join(docsDir, row["run"]))
	require.NoError(t, err)
	s, ok := r.Find(row["series"])
	require.True(t, ok, "no series %q in %s", row["series"], row["run"])
	require.GreaterOrEqual(t, len(s.Points), 3, "%s: a slope needs three points", s.Name)
	fit, err := fitLine(s.Points)
	require.NoError(t, err)
	want := map[string]float64{"slope": fit.Slope, "intercept": fit.Intercept, "last": s.Points[len(s.Points)-1].Y}
	v, known := want[row["part"]]
	require.True(t, known, "part %q", row["part"])
	requireClose(t, v, number(t, row, "value"), row["name"])
}

// The page's figures follow from its inputs and slopes, the slopes from the
// runs, and the verdicts from the budgets.
func TestCapacityPageFiguresAreConsistent(t *testing.T) {
	b, err := os.ReadFile(capacityPage)
	require.NoError(t, err)
	page := string(b)
	names, estimated := readPageValues(t, page)
	brief := workload.Default(reducerSeed)
	requireClose(t, brief.MeanTasks(), names["job_mean"], "job_mean")
	rows := readTable(t, page, "Results")
	require.NotEmpty(t, rows)
	for _, row := range rows {
		got, err := evaluate(row["formula"], names)
		require.NoError(t, err, "%v", row)
		requireClose(t, got, number(t, row, "value"), row["role"]+" "+row["what"])
		if row["budget"] != "" {
			want := "meets"
			if number(t, row, "value") > number(t, row, "budget") {
				want = "misses"
			}
			require.Equal(t, want, row["verdict"], "%v", row)
		}
		require.Equal(t, basisOf(row["formula"], estimated), row["basis"], "%v", row)
	}
}

// basisOf returns whether a formula rests on an estimate or on slopes only.
func basisOf(formula string, estimated map[string]bool) string {
	for name, guess := range estimated {
		if guess && refersTo(formula, name) {
			return "estimated"
		}
	}
	return "slopes"
}

func refersTo(expr, name string) bool {
	tree, err := parser.ParseExpr(expr)
	found := false
	if err != nil {
		return false
	}
	ast.Inspect(tree, func(n ast.Node) bool {
		id, ok := n.(*ast.Ident)
		found = found || ok && id.Name == name
		return true
	})
	return found
}

func TestEvaluate(t *testing.T) {
	v, err := evaluate("a*(2+b)/4 - 1", map[string]float64{"a": 6, "b": 4})
	require.NoError(t, err)
	require.InDelta(t, 8, v, 1e-12)
	for _, bad := range []string{"c", "a+", "f(1)", "a<2"} {
		_, err := evaluate(bad, map[string]float64{"a": 1})
		require.Error(t, err, bad)
	}
}
