package command

import "github.com/fireflytray/fireflytray/adminapi"

// replicaArg is the positional argument for a replica.
type replicaArg struct {
	Replica string `positional-arg-name:"replica" required:"yes" description:"Replica id, as shown by control list"`
}

type controlAdd struct {
	env *Env
	adminOptions
	Args struct {
		Replica string `positional-arg-name:"replica" required:"yes" description:"Replica id, as shown by control list"`
		Addr    string `positional-arg-name:"address" required:"yes" description:"Peer address of the new control host"`
	} `positional-args:"yes" required:"yes"`
}

// Execute adds a control host as a learner.
func (c *controlAdd) Execute([]string) error {
	return c.changeMembers(c.env, adminapi.MemberRequest{Action: "add", Replica: c.Args.Replica, Addr: c.Args.Addr})
}

type controlPromote struct {
	env *Env
	adminOptions
	Args replicaArg `positional-args:"yes" required:"yes"`
}

// Execute promotes a learner to voter.
func (c *controlPromote) Execute([]string) error {
	return c.changeMembers(c.env, adminapi.MemberRequest{Action: "promote", Replica: c.Args.Replica})
}

type controlRemove struct {
	env *Env
	adminOptions
	Args replicaArg `positional-args:"yes" required:"yes"`
}

// Execute removes a control host.
func (c *controlRemove) Execute([]string) error {
	return c.changeMembers(c.env, adminapi.MemberRequest{Action: "remove", Replica: c.Args.Replica})
}

// changeMembers sends a membership change without retries and prints the resulting
// list of control hosts.
func (o *adminOptions) changeMembers(env *Env, req adminapi.MemberRequest) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	var reply adminapi.ControlReply
	if err := client.Post(env.Context, adminapi.PathMembers, req, &reply); err != nil {
		return adminError(err)
	}
	return printControl(env, &reply)
}
