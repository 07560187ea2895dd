package command

import "github.com/fireflytray/fireflytray/adminapi"

type configRollback struct {
	env *Env
	changeOptions
	Args struct {
		Version uint64 `positional-arg-name:"version" required:"yes" description:"Version whose content to apply; 0 is the empty configuration"`
	} `positional-args:"yes" required:"yes"`
}

// Execute creates a new version with the content of an earlier one.
func (c *configRollback) Execute([]string) error {
	return c.change(c.env, adminapi.PathRollback, func(base uint64, op string) any {
		return adminapi.RollbackRequest{Op: op, Base: base, To: c.Args.Version}
	})
}
