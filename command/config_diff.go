package command

import (
	"github.com/fireflytray/fireflytray/adminapi"
)

type configDiff struct {
	env *Env
	adminOptions
	Args folderArg `positional-args:"yes" required:"yes"`
}

// Execute compares the files with the version in force.
func (c *configDiff) Execute([]string) error {
	sources, err := readSources(c.Args.Folder)
	if err != nil {
		return err
	}
	var diff adminapi.Difference
	if err := c.send(c.env, adminapi.PathDiff, adminapi.ConfigRequest{Sources: sources}, &diff); err != nil {
		return err
	}
	return c.env.Print(diff, func() Table { return diffTable(&diff) })
}

func diffTable(diff *adminapi.Difference) Table {
	t := Table{Header: []string{"site", "section", "change", "key", "in force", "new"}}
	for _, s := range diff.Sections {
		row := []string{orDash(s.Site), s.Section, s.Change}
		if len(s.Keys) == 0 {
			t.Rows = append(t.Rows, append(row, "-", "-", "-"))
		}
		for _, k := range s.Keys {
			t.Rows = append(t.Rows, []string{orDash(s.Site), s.Section, s.Change, k.Key, orDash(k.Old), orDash(k.New)})
		}
	}
	if len(t.Rows) == 0 {
		return Table{Rows: [][]string{{"no difference from version " + itoa(diff.Base)}}}
	}
	return t
}
