// Package command is the operators' command line. Each command is one file
// with one registration.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/jessevdk/go-flags"
)

const program = "fireflytray"

// The exit codes.
const (
	// ExitOK means that the command did what was asked.
	ExitOK = 0
	// ExitFailed means that it failed; an accepted job that failed is one.
	ExitFailed = 1
	// ExitUsage means that the command line or a file given is wrong.
	ExitUsage = 2
	// ExitNotRun means that the request was refused and did not run.
	ExitNotRun = 3
	// ExitUnknown means that nobody can say whether the request ran or the
	// change was accepted.
	ExitUnknown = 4
	// ExitUnavailable means that no process answered.
	ExitUnavailable = 5
)

// ExitError is an error with its exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the wrapped error's text.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

// Exit returns an error that ends the program with code.
func Exit(code int, format string, args ...any) error {
	return &ExitError{Code: code, Err: fmt.Errorf(format, args...)}
}

// Env is what a command may use of the outside.
type Env struct {
	// Context ends on SIGINT or SIGTERM.
	Context        context.Context
	Stdout, Stderr io.Writer
	// JSON is set by --json.
	JSON bool
}

// registration is one command of the program.
type registration struct {
	name, short, long string
	build             func(*Env) any
}

var registrations []registration

// register adds a command. Build returns a pointer to its options: a
// flags.Commander, or a struct of subcommands.
func register(name, short, long string, build func(*Env) any) struct{} {
	registrations = append(registrations, registration{name, short, long, build})
	return struct{}{}
}

// globalOptions are the options that every command has.
type globalOptions struct {
	JSON func() `long:"json" description:"Print JSON for programs in place of text for people."`
}

// Main runs one command line, without the program's name, and returns the
// exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := &Env{Context: ctx, Stdout: stdout, Stderr: stderr}
	parser, err := newParser(env)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return ExitFailed
	}
	_, err = parser.ParseArgs(args)
	return report(err, stdout, stderr)
}

func newParser(env *Env) (*flags.Parser, error) {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "dispatcher for sub-second tasks"
	parser.LongDescription = "Operates a fireflytray fleet. Exit codes: 0 done; 1 failed; 2 wrong command line or file; " +
		"3 refused and not run; 4 outcome unknown; 5 no process answered."
	parser.CommandHandler = execute
	opts := &globalOptions{JSON: func() { env.JSON = true }}
	if _, err := parser.AddGroup("Global options", "", opts); err != nil {
		return nil, fmt.Errorf("command: global options: %w", err)
	}
	slices.SortFunc(registrations, func(a, b registration) int { return strings.Compare(a.name, b.name) })
	for _, r := range registrations {
		if _, err := parser.AddCommand(r.name, r.short, r.long, r.build(env)); err != nil {
			return nil, fmt.Errorf("command: %s: %w", r.name, err)
		}
	}
	return parser, nil
}

// execute runs a command; what it doesn't declare as an argument is an error.
func execute(c flags.Commander, args []string) error {
	if len(args) > 0 {
		return Exit(ExitUsage, "unexpected argument %q", args[0])
	}
	if c == nil {
		return nil
	}
	return c.Execute(args)
}

// report prints an error and returns its exit code.
func report(err error, stdout, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, usage.Message)
			return ExitOK
		}
		fmt.Fprintf(stderr, "%s: %s\n", program, usage.Message)
		return ExitUsage
	}
	fmt.Fprintf(stderr, "%s: %v\n", program, err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailed
}
