package command

import (
	"errors"
	"io/fs"
	"time"

	"github.com/fireflytray/fireflytray/keys"
)

var _ = register("keys", "Manage the certificate authority",
	"Creates the certificate authority of a fleet, and issues and renews the certificates of its processes and operators.",
	func(e *Env) any {
		return &keysCommand{
			Init:  keysInit{env: e},
			Issue: keysIssue{env: e},
			Renew: keysRenew{env: e},
		}
	})

type keysCommand struct {
	Init  keysInit  `command:"init" description:"Create a new authority"`
	Issue keysIssue `command:"issue" description:"Issue a certificate for a process or operator"`
	Renew keysRenew `command:"renew" description:"Replace a certificate by one with a new key and the same name"`
}

// authorityOptions is the option for the folder of the authority.
type authorityOptions struct {
	Authority string `long:"authority" value-name:"FOLDER" default:"authority" description:"Folder of the authority; do not keep it on hosts of the fleet"`
}

type keysInit struct {
	env *Env
	authorityOptions
}

// Execute creates the authority.
func (c *keysInit) Execute([]string) error {
	err := keys.Init(c.Authority)
	if errors.Is(err, fs.ErrExist) {
		return Exit(ExitNotRun, "%w: an authority is never replaced", err)
	}
	if err != nil {
		return err
	}
	return c.env.Print(struct {
		Authority string `json:"authority"`
	}{c.Authority}, func() Table { return Table{Rows: [][]string{{"authority created in", c.Authority}}} })
}

type keysIssue struct {
	env *Env
	authorityOptions
	Role   string        `long:"role" required:"yes" choice:"entry" choice:"agent" choice:"control" choice:"operator" description:"Role of the holder"`
	ID     string        `long:"id" required:"yes" description:"Process id, or the operator's name"`
	Domain string        `long:"domain" required:"yes" description:"Failure domain of the process; for an operator the site or team"`
	Valid  time.Duration `long:"valid" default:"2160h" description:"Validity period of the certificate"`
	Out    string        `long:"out" required:"yes" value-name:"FOLDER" description:"Folder for process.pem and ca.crt"`
}

// Execute issues the certificate.
func (c *keysIssue) Execute([]string) error {
	role, err := keys.ParseRole(c.Role)
	if err != nil {
		return Exit(ExitUsage, "%w", err)
	}
	n := keys.Name{Role: role, ID: c.ID, Domain: c.Domain}
	if err := n.Validate(); err != nil {
		return Exit(ExitUsage, "%w", err)
	}
	if err := keys.Issue(c.Authority, n, c.Valid, c.Out); err != nil {
		return err
	}
	return printIdentity(c.env, c.Out)
}

type keysRenew struct {
	env *Env
	authorityOptions
	Valid time.Duration `long:"valid" default:"2160h" description:"Validity period of the certificate"`
	Args  struct {
		Folder []string `positional-arg-name:"folder" required:"1" description:"Folders that contain a process.pem"`
	} `positional-args:"yes" required:"yes"`
}

// Execute renews the certificate in each folder.
func (c *keysRenew) Execute([]string) error {
	for _, folder := range c.Args.Folder {
		if _, err := keys.Renew(c.Authority, c.Valid, folder); err != nil {
			return err
		}
	}
	return printIdentity(c.env, c.Args.Folder...)
}

// identityInfo describes one issued certificate.
type identityInfo struct {
	Role    string    `json:"role"`
	ID      string    `json:"id"`
	Domain  string    `json:"domain"`
	Expires time.Time `json:"expires"`
	Folder  string    `json:"folder"`
}

func printIdentity(env *Env, folders ...string) error {
	var infos []identityInfo
	for _, folder := range folders {
		id, err := keys.Load(folder)
		if err != nil {
			return err
		}
		n := id.Name()
		infos = append(infos, identityInfo{string(n.Role), n.ID, n.Domain, id.Expires().UTC(), folder})
	}
	return env.Print(infos, func() Table {
		t := Table{Header: []string{"role", "id", "domain", "expires", "folder"}}
		for _, i := range infos {
			t.Rows = append(t.Rows, []string{i.Role, i.ID, i.Domain, i.Expires.Format(time.RFC3339), i.Folder})
		}
		return t
	})
}
