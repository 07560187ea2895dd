package command

import (
	"fmt"
	"os"

	"github.com/fireflytray/fireflytray/adminapi"
)

// backupMode is the file mode of a backup: it holds outcomes of requests.
const backupMode = 0o600

type controlBackup struct {
	env *Env
	adminOptions
	Stale bool `long:"stale" description:"Take what the host has although it has no quorum, after a majority is lost"`
	Args  struct {
		File string `positional-arg-name:"file" required:"yes" description:"File to write; it must not exist"`
	} `positional-args:"yes" required:"yes"`
}

// backupReport describes a backup.
type backupReport struct {
	File  string `json:"file"`
	Bytes int    `json:"bytes"`
}

// Execute writes the backup.
func (c *controlBackup) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	path := adminapi.PathBackup
	if c.Stale {
		path += "?stale=true"
	}
	raw, err := client.GetRaw(c.env.Context, path)
	if err != nil {
		return adminError(err)
	}
	if err := writeExclusive(c.Args.File, raw); err != nil {
		return err
	}
	report := backupReport{c.Args.File, len(raw)}
	return c.env.Print(report, func() Table {
		return Table{Header: []string{"file", "bytes"}, Rows: [][]string{{report.File, itoa(report.Bytes)}}}
	})
}

// writeExclusive writes and syncs a file that must not exist.
func writeExclusive(path string, raw []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, backupMode)
	if err != nil {
		return Exit(ExitUsage, "write backup: %w", err)
	}
	defer f.Close()
	if _, err := f.Write(raw); err != nil {
		return fmt.Errorf("write backup: %w", err)
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("write backup: %w", err)
	}
	return nil
}

type controlRestore struct {
	env *Env
	adminOptions
	Args struct {
		File string `positional-arg-name:"file" required:"yes" description:"File that control backup wrote"`
	} `positional-args:"yes" required:"yes"`
}

// Execute sends the backup to a new cluster.
func (c *controlRestore) Execute([]string) error {
	raw, err := os.ReadFile(c.Args.File)
	if err != nil {
		return Exit(ExitUsage, "read backup: %w", err)
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	var reply adminapi.RestoreReply
	if err := client.PostRaw(c.env.Context, adminapi.PathRestore, raw, &reply); err != nil {
		return adminError(err)
	}
	return c.env.Print(reply, func() Table {
		return Table{Header: []string{"version in force"}, Rows: [][]string{{itoa(reply.Index)}}}
	})
}
