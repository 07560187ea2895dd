package command

import (
	"runtime"
	"runtime/debug"
	"strconv"

	"github.com/fireflytray/fireflytray/wire"
)

var _ = register("version", "Print the version", "Prints the version of the program and of its protocol.",
	func(e *Env) any { return &versionCommand{env: e} })

type versionCommand struct {
	env *Env
}

// versionInfo is the output of the version command.
type versionInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Protocol int    `json:"protocol"`
	Go       string `json:"go"`
}

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	v := readVersion()
	return c.env.Print(v, func() Table {
		return Table{Rows: [][]string{
			{"version", v.Version},
			{"revision", v.Revision},
			{"protocol", strconv.Itoa(v.Protocol)},
			{"go", v.Go},
		}}
	})
}

func readVersion() versionInfo {
	v := versionInfo{Version: "unknown", Revision: "unknown", Protocol: wire.Version, Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	v.Version = info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v.Revision = s.Value
		}
	}
	return v
}
