package command

import (
	_ "embed" // for the completion scripts

	"github.com/urfave/cli/v2"
)

//go:embed completion.bash
var bashCompletion string

//go:embed completion.zsh
var zshCompletion string

func (b *builder) completion() *cli.Command {
	return &cli.Command{
		Name:      "completion",
		Usage:     "print a completion script for the shell",
		ArgsUsage: "bash|zsh",
		BashComplete: func(c *cli.Context) {
			if c.NArg() == 0 {
				_, _ = c.App.Writer.Write([]byte("bash\nzsh\n"))
			}
		},
		Action: func(c *cli.Context) error {
			args, err := checkArgCount(c, 1, 1)
			if err != nil {
				return err
			}
			script, ok := map[string]string{"bash": bashCompletion, "zsh": zshCompletion}[args[0]]
			if !ok {
				return usageErrorf("shell %q (permitted: bash, zsh)", args[0])
			}
			_, err = b.env.Stdout.Write([]byte(script))
			return err
		},
	}
}
