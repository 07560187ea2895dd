package command

var _ = register("take-back", "Send work to an evacuated failure domain again",
	"Withdraws an evacuation. A domain that is not evacuated stays as it is.",
	func(e *Env) any { return &takeBackCommand{env: e} })

type takeBackCommand struct {
	env *Env
	domainOptions
}

// Execute takes the domain back.
func (c *takeBackCommand) Execute([]string) error { return c.order(c.env, false) }
