package command

import "github.com/fireflytray/fireflytray/settings"

var _ = register("settings", "Print the settings reference",
	"Prints every section and key of the settings files, with defaults and valid values, in Markdown.",
	func(e *Env) any { return &settingsCommand{env: e} })

type settingsCommand struct {
	env *Env
}

// Execute prints the page.
func (c *settingsCommand) Execute([]string) error { return settings.Document(c.env.Stdout) }
