package command

import (
	"slices"
	"strings"

	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/resource"
)

const completionFlag = "--generate-bash-completion"

// reorder moves flags between the command and its arguments, where the library expects them, so that flags may stand
// anywhere: "get pool -o json" becomes "get -o json -- pool".
func reorder(app *cli.App, args []string) []string {
	if len(args) < 2 || args[len(args)-1] == completionFlag {
		return args
	}
	valued := valuedFlags(app)
	var flags, words []string
	for i := 1; i < len(args); i++ {
		a := args[i]
		if a == "--" {
			words = append(words, args[i+1:]...)
			break
		}
		if a == "-" || !strings.HasPrefix(a, "-") {
			words = append(words, a)
			continue
		}
		flags = append(flags, a)
		if valued[strings.TrimLeft(a, "-")] && i+1 < len(args) {
			i++
			flags = append(flags, args[i])
		}
	}
	if len(words) == 0 {
		return append([]string{args[0]}, flags...)
	}
	out := append([]string{args[0], words[0]}, flags...)
	if len(words) > 1 {
		out = append(append(out, "--"), words[1:]...)
	}
	return out
}

// valuedFlags returns the names of the flags that are followed by a value.
func valuedFlags(app *cli.App) map[string]bool {
	valued := make(map[string]bool)
	for _, c := range app.Commands {
		for _, f := range c.Flags {
			if _, ok := f.(*cli.BoolFlag); ok {
				continue
			}
			for _, name := range f.Names() {
				valued[name] = true
			}
		}
	}
	return valued
}

// wantsJSON reports whether the arguments ask for JSON. It is used for errors that occur before flags are parsed.
func wantsJSON(args []string) bool {
	for i, a := range args {
		if a == "-o=json" || a == "--output=json" || a == "json" && i > 0 && slices.Contains([]string{"-o", "--output"}, args[i-1]) {
			return true
		}
	}
	return false
}

// arguments checks the number of arguments.
func arguments(c *cli.Context, low, high int) ([]string, error) {
	args := c.Args().Slice()
	if len(args) < low || len(args) > high {
		return nil, usagef("wrong number of arguments; usage: berylwharf %s %s", c.Command.Name, c.Command.ArgsUsage)
	}
	return args, nil
}

func parseKind(s string) (resource.Kind, error) {
	kind := resource.Kind(s)
	if err := kind.Validate(); err != nil {
		return "", usagef("%v", err)
	}
	return kind, nil
}

// keyArgument returns the resource that the arguments KIND NAME name.
func keyArgument(c *cli.Context) (resource.Key, error) {
	args, err := arguments(c, 2, 2)
	if err != nil {
		return resource.Key{}, err
	}
	key := resource.Key{Kind: resource.Kind(args[0]), Name: args[1]}
	if err := key.Validate(); err != nil {
		return key, usagef("%v", err)
	}
	return key, nil
}

// completeKinds offers the kinds as the first argument.
func completeKinds(c *cli.Context) {
	if c.NArg() > 0 {
		return
	}
	for _, kind := range resource.Kinds() {
		_, _ = c.App.Writer.Write([]byte(string(kind) + "\n"))
	}
}
