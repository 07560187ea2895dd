package command

import (
	"fmt"

	"github.com/fireflytray/fireflytray/adminapi"
)

type configShow struct {
	env *Env
	adminOptions
	Index *uint64 `long:"index" description:"Version to print (default: the version in force)"`
}

// Execute prints the INI text of a version.
func (c *configShow) Execute([]string) error {
	query := ""
	if c.Index != nil {
		query = fmt.Sprintf("index=%d", *c.Index)
	}
	var reply adminapi.ConfigReply
	if err := c.get(c.env, adminapi.PathConfig, query, &reply); err != nil {
		return err
	}
	if c.env.JSON {
		return c.env.printJSON(reply)
	}
	fmt.Fprintf(c.env.Stdout, "# version %d, digest %s\n", reply.Index, reply.Digest)
	for _, domain := range reply.Evacuated {
		fmt.Fprintf(c.env.Stdout, "# failure domain %s is evacuated\n", domain)
	}
	for _, s := range reply.Sources {
		if s.Site != "" {
			fmt.Fprintf(c.env.Stdout, "# overlay of site %s\n", s.Site)
		}
		fmt.Fprint(c.env.Stdout, s.Text)
	}
	return nil
}
