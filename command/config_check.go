package command

import (
	"github.com/fireflytray/fireflytray/adminapi"
	"github.com/fireflytray/fireflytray/fleet"
)

type configCheck struct {
	env  *Env
	Args folderArg `positional-args:"yes" required:"yes"`
}

// checkReport summarises a valid configuration.
type checkReport struct {
	Digest   string   `json:"digest"`
	Sites    []string `json:"sites"`
	Services int      `json:"services"`
	Teams    int      `json:"teams"`
}

// Execute validates the files. It prints a summary, or fails with every problem.
func (c *configCheck) Execute([]string) error {
	sources, err := readSources(c.Args.Folder)
	if err != nil {
		return err
	}
	doc, err := parseLocal(sources)
	if err != nil {
		return Exit(ExitUsage, "the configuration is not valid:\n%w", err)
	}
	conf := doc.Effective("")
	report := checkReport{adminapi.FormatDigest(doc.Digest()), doc.Sites(), len(conf.Services), len(conf.Teams)}
	return c.env.Print(report, func() Table {
		return Table{Header: []string{"digest", "services", "teams", "overlays"}, Rows: [][]string{{
			report.Digest, itoa(report.Services), itoa(report.Teams), itoa(len(report.Sites)),
		}}}
	})
}

func parseLocal(sources []adminapi.Source) (*fleet.Document, error) {
	in := make([]fleet.Source, len(sources))
	for i, s := range sources {
		in[i] = fleet.Source{Site: s.Site, File: s.File, Text: []byte(s.Text)}
	}
	return fleet.Parse(in)
}
