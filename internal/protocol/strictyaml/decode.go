package strictyaml

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// inlineOption marks an embedded struct whose keys stand in its parent.
const inlineOption = ",inline"

func (f *File) decode(root *yaml.Node, out any) {
	f.value(root, reflect.ValueOf(out).Elem(), "")
}

// value decodes one node over v.
func (f *File) value(node *yaml.Node, v reflect.Value, path string) {
	f.lines[path] = node.Line
	if fault := plainFault(node); fault != "" {
		f.add(path, node.Line, "%s", fault)
		return
	}
	switch {
	case v.Kind() == reflect.Struct:
		f.mapping(node, v, path)
	case v.Kind() == reflect.Slice:
		f.sequence(node, v, path)
	default:
		f.scalar(node, v, path)
	}
}

// plainFault names what is not allowed anywhere in a file. Aliases are
// refused because a small file can expand to gigabytes through them.
func plainFault(node *yaml.Node) string {
	switch {
	case node.Kind == yaml.AliasNode:
		return "aliases are not allowed"
	case node.Anchor != "":
		return "anchors are not allowed"
	case node.Style&yaml.TaggedStyle != 0:
		return "tags are not allowed"
	case node.Kind == yaml.ScalarNode && node.Tag == "!!null":
		return "the value is missing"
	}
	return ""
}

func (f *File) mapping(node *yaml.Node, v reflect.Value, path string) {
	if node.Kind != yaml.MappingNode {
		f.add(path, node.Line, "must be a mapping with the keys %s", strings.Join(keys(v.Type()), ", "))
		return
	}
	fields := map[string]reflect.Value{}
	collect(v, fields)
	seen := map[string]int{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		f.entry(node.Content[i], node.Content[i+1], v.Type(), fields, seen, path)
	}
}

// entry decodes one key and its value.
func (f *File) entry(key, value *yaml.Node, t reflect.Type, fields map[string]reflect.Value, seen map[string]int, path string) {
	name := join(path, key.Value)
	field, known := fields[key.Value]
	switch first := seen[key.Value]; {
	case key.Kind != yaml.ScalarNode:
		f.report(path, key.Line, "a key must be a plain word")
	case !known:
		f.report(name, key.Line, "unknown key; allowed are %s", strings.Join(keys(t), ", "))
	case first > 0:
		f.report(name, key.Line, "repeats the key of line %d", first)
	default:
		seen[key.Value] = key.Line
		f.value(value, field, name)
	}
}

func (f *File) sequence(node *yaml.Node, v reflect.Value, path string) {
	if node.Kind != yaml.SequenceNode {
		f.add(path, node.Line, "must be a list")
		return
	}
	list := reflect.MakeSlice(v.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		f.value(item, list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	v.Set(list)
}

func (f *File) scalar(node *yaml.Node, v reflect.Value, path string) {
	if node.Kind != yaml.ScalarNode || isFraction(node, v.Type()) || node.Decode(v.Addr().Interface()) != nil {
		f.add(path, node.Line, "must be %s, not %s", kindName(v.Type()), describe(node))
	}
}

// isFraction reports whether a number with a fraction, an exponent or an
// infinite one stands where a whole number is expected. The library would cut
// the fraction off, and make the least whole number of -.inf.
func isFraction(node *yaml.Node, t reflect.Type) bool {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return t.Kind() >= reflect.Int && t.Kind() <= reflect.Uint64 && node.ShortTag() == "!!float"
}

// kindName names a type in words that the author of a file understands.
func kindName(t reflect.Type) string {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return "a duration such as 500ms, 10s or 2m"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.String:
		return "a text"
	case t.Kind() == reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

func describe(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	}
	return fmt.Sprintf("%q", node.Value)
}

// collect maps the yaml keys of a struct to its fields.
func collect(v reflect.Value, fields map[string]reflect.Value) {
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag.Get("yaml")
		if tag == inlineOption {
			collect(v.Field(i), fields)
			continue
		}
		fields[tag] = v.Field(i)
	}
}

// keys lists the yaml keys of a struct in the order of its fields.
func keys(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		field := t.Field(i)
		tag := field.Tag.Get("yaml")
		if tag == inlineOption {
			names = append(names, keys(field.Type)...)
			continue
		}
		names = append(names, tag)
	}
	return names
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
