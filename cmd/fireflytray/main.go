// Command fireflytray is the command-line tool for operators.
package main

import (
	"os"

	"github.com/fireflytray/fireflytray/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
