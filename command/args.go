package command

import (
	"slices"
	"strings"

	"github.com/urfave/cli/v2"

	"github.com/berylwharf/berylwharf/resource"
)

const completionFlag = "--generate-bash-completion"

// reorderArgs allows flags anywhere on the command line. It moves them between the command and its arguments, where
// urfave/cli expects them: "get pool -o json" becomes "get -o json -- pool".
func reorderArgs(app *cli.App, args []string) []string {
	if len(args) < 2 || args[len(args)-1] == completionFlag {
		return args
	}
	takesValue := flagsWithValue(app)
	var flags, positional []string
	for i := 1; i < len(args); i++ {
		a := args[i]
		if a == "--" {
			positional = append(positional, args[i+1:]...)
			break
		}
		if a == "-" || !strings.HasPrefix(a, "-") {
			positional = append(positional, a)
			continue
		}
		flags = append(flags, a)
		if takesValue[strings.TrimLeft(a, "-")] && i+1 < len(args) {
			i++
			flags = append(flags, args[i])
		}
	}
	if len(positional) == 0 {
		return append([]string{args[0]}, flags...)
	}
	out := append([]string{args[0], positional[0]}, flags...)
	if len(positional) > 1 {
		out = append(append(out, "--"), positional[1:]...)
	}
	return out
}

// flagsWithValue returns the names of the flags that take a value.
func flagsWithValue(app *cli.App) map[string]bool {
	takesValue := make(map[string]bool)
	for _, c := range app.Commands {
		for _, f := range c.Flags {
			if _, ok := f.(*cli.BoolFlag); ok {
				continue
			}
			for _, name := range f.Names() {
				takesValue[name] = true
			}
		}
	}
	return takesValue
}

// wantsJSON reports whether the arguments select JSON output. It serves errors that occur before the flags are parsed.
func wantsJSON(args []string) bool {
	for i, a := range args {
		if a == "--json" || a == "-o=json" || a == "--output=json" || a == "json" && i > 0 && slices.Contains([]string{"-o", "--output"}, args[i-1]) {
			return true
		}
	}
	return false
}

// checkArgCount returns the positional arguments, or a usage error if their number is out of range.
func checkArgCount(c *cli.Context, minimum, maximum int) ([]string, error) {
	args := c.Args().Slice()
	if len(args) < minimum || len(args) > maximum {
		return nil, usageErrorf("wrong number of arguments; usage: berylwharf %s %s", c.Command.Name, c.Command.ArgsUsage)
	}
	return args, nil
}

func parseKind(s string) (resource.Kind, error) {
	kind := resource.Kind(s)
	if err := kind.Validate(); err != nil {
		return "", usageErrorf("%v", err)
	}
	return kind, nil
}

// parseKeyArgs parses the arguments KIND NAME.
func parseKeyArgs(c *cli.Context) (resource.Key, error) {
	args, err := checkArgCount(c, 2, 2)
	if err != nil {
		return resource.Key{}, err
	}
	key := resource.Key{Kind: resource.Kind(args[0]), Name: args[1]}
	if err := key.Validate(); err != nil {
		return key, usageErrorf("%v", err)
	}
	return key, nil
}

// completeKinds prints the kinds as completions of the first argument.
func completeKinds(c *cli.Context) {
	if c.NArg() > 0 {
		return
	}
	for _, kind := range resource.Kinds() {
		_, _ = c.App.Writer.Write([]byte(string(kind) + "\n"))
	}
}
