package operator

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/alecthomas/kong"
)

// usageError replaces those errors of kong that do not say what is allowed.
func usageError(err error) error {
	var parse *kong.ParseError
	if !errors.As(err, &parse) || parse.Context == nil {
		return err
	}
	node, text := parse.Context.Selected(), err.Error()
	extra, unexpected := strings.CutPrefix(text, "unexpected argument ")
	switch {
	case unexpected && node == nil:
		return fmt.Errorf("command %q does not exist; allowed are %s", extra, commandNames(parse.Context))
	case unexpected:
		return fmt.Errorf("argument %q is one too many; allowed is: svctl %s", extra, node.Summary())
	case strings.HasPrefix(text, "expected one of ") && node == nil:
		return fmt.Errorf("a command is required; allowed are %s", commandNames(parse.Context))
	case strings.HasPrefix(text, "expected ") && node != nil:
		return missingArgument(node, err)
	}
	return err
}

func commandNames(c *kong.Context) string {
	var names []string
	for _, child := range c.Model.Children {
		names = append(names, child.Name)
	}
	return strings.Join(names, ", ")
}

// missingArgument names the first required argument that has no value.
func missingArgument(node *kong.Node, err error) error {
	for _, p := range node.Positional {
		if !p.Required || p.Set {
			continue
		}
		if p.Enum != "" {
			return fmt.Errorf("%s is required; allowed are %s", p.Summary(), strings.ReplaceAll(p.Enum, ",", ", "))
		}
		return fmt.Errorf("%s is required: %s", p.Summary(), strings.TrimSuffix(p.Help, "."))
	}
	return err
}

// generation is a flag for the generation of a document. The errors of kong's
// own integer flags do not say what is allowed.
type generation uint64

// Decode implements kong.MapperValue.
func (g *generation) Decode(ctx *kong.DecodeContext) error {
	token := ctx.Scan.Pop()
	if token.IsEOL() {
		return errors.New("must be a generation, a whole number of 0 or above, but has no value")
	}
	text := fmt.Sprint(token.Value)
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return fmt.Errorf("must be a generation, a whole number of 0 or above, not %q", text)
	}
	*g = generation(value)
	return nil
}
