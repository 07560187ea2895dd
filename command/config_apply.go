package command

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/fireflytray/fireflytray/adminapi"
)

// changeOptions are the options of commands that change the configuration.
type changeOptions struct {
	adminOptions
	Replaces *uint64 `long:"replaces" value-name:"VERSION" description:"Version that the change replaces (default: the version in force when the command starts)"`
	Op       string  `long:"op" value-name:"ID" description:"Operation id; a retry with the same id gets the first answer"`
	Wait     bool    `long:"wait" description:"Wait until every reachable process has the version; on timeout, list those that don't"`
}

type configApply struct {
	env *Env
	changeOptions
	Args folderArg `positional-args:"yes" required:"yes"`
}

// Execute checks the files and applies them as a new version.
func (c *configApply) Execute([]string) error {
	sources, err := readSources(c.Args.Folder)
	if err != nil {
		return err
	}
	if _, err := parseLocal(sources); err != nil {
		return Exit(ExitUsage, "the configuration is not valid:\n%w", err)
	}
	return c.change(c.env, adminapi.PathApply, func(base uint64, op string) any {
		return adminapi.ApplyRequest{Op: op, Base: base, Sources: sources}
	})
}

// change sends a change and prints the answer. With --wait it first waits until
// the version is in force.
func (o *changeOptions) change(env *Env, path string, build func(base uint64, op string) any) error {
	base, err := o.base(env)
	if err != nil {
		return err
	}
	if o.Op == "" {
		o.Op = newOperationID()
	}
	fmt.Fprintf(env.Stderr, "operation %s replaces version %d\n", o.Op, base)
	var reply adminapi.ChangeReply
	if err := o.send(env, path, build(base, o.Op), &reply); err != nil {
		return fmt.Errorf("operation %s: %w", o.Op, err)
	}
	if !reply.Accepted {
		return o.refused(env, &reply)
	}
	if o.Wait {
		return waitInForce(env, &o.adminOptions, &reply)
	}
	return env.Print(reply, func() Table { return changeTable(&reply) })
}

// base returns the version that the change replaces.
func (o *changeOptions) base(env *Env) (uint64, error) {
	if o.Replaces != nil {
		return *o.Replaces, nil
	}
	var status adminapi.ConfigStatus
	if err := o.get(env, adminapi.PathStatus, "", &status); err != nil {
		return 0, err
	}
	return status.Version.Index, nil
}

func (o *changeOptions) refused(env *Env, reply *adminapi.ChangeReply) error {
	if env.JSON {
		if err := env.printJSON(reply); err != nil {
			return err
		}
	}
	return Exit(ExitNotRun, "refused: %s: %s", reply.Refusal, reply.Detail)
}

func changeTable(r *adminapi.ChangeReply) Table {
	return Table{Header: []string{"version", "digest", "resent", "detail"}, Rows: [][]string{{
		itoa(r.Index), r.Digest, yesNo(r.Resent), r.Detail,
	}}}
}

// operationIDBytes is the number of random bytes in a generated operation id.
const operationIDBytes = 12

func newOperationID() string {
	b := make([]byte, operationIDBytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}
