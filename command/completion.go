package command

import "io"

var _ = register("completion", "Print a shell completion script",
	"Prints a script that completes commands and options, for bash or zsh. Load it with: source <(fireflytray completion bash)",
	func(e *Env) any { return &completionCommand{env: e} })

type completionCommand struct {
	env  *Env
	Args struct {
		Shell string `positional-arg-name:"shell" choice:"bash" choice:"zsh" description:"bash or zsh"`
	} `positional-args:"yes" required:"yes"`
}

const bashCompletion = `_fireflytray() {
	local IFS=$'\n'
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
	return 0
}
complete -o default -F _fireflytray fireflytray
`

const zshCompletion = "autoload -U +X bashcompinit && bashcompinit\n" + bashCompletion

// Execute prints the script.
func (c *completionCommand) Execute([]string) error {
	script := ""
	switch c.Args.Shell {
	case "bash":
		script = bashCompletion
	case "zsh":
		script = zshCompletion
	default:
		return Exit(ExitUsage, "completion: shell %q: want bash or zsh", c.Args.Shell)
	}
	_, err := io.WriteString(c.env.Stdout, script)
	return err
}
