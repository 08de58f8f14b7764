package strictyaml

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// inlineOption is the yaml tag of an embedded struct whose keys belong to the mapping
// of the enclosing struct.
const inlineOption = ",inline"

func (f *File) decode(root *yaml.Node, out any) {
	f.decodeValue(root, reflect.ValueOf(out).Elem(), "")
}

// decodeValue decodes one node over v, which holds the default.
func (f *File) decodeValue(node *yaml.Node, v reflect.Value, path string) {
	f.lines[path] = node.Line
	if fault := forbiddenSyntax(node); fault != "" {
		f.add(path, node.Line, "%s", fault)
		return
	}
	switch {
	case v.Kind() == reflect.Struct:
		f.decodeMapping(node, v, path)
	case v.Kind() == reflect.Slice:
		f.decodeSequence(node, v, path)
	default:
		f.decodeScalar(node, v, path)
	}
}

// forbiddenSyntax returns a message if the node uses syntax that is not allowed
// anywhere in a file. Aliases are not allowed because they can expand a small file to
// gigabytes.
func forbiddenSyntax(node *yaml.Node) string {
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

func (f *File) decodeMapping(node *yaml.Node, v reflect.Value, path string) {
	if node.Kind != yaml.MappingNode {
		f.add(path, node.Line, "must be a mapping with the keys %s", strings.Join(yamlKeys(v.Type()), ", "))
		return
	}
	fields := map[string]reflect.Value{}
	collectFields(v, fields)
	seen := map[string]int{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		f.decodeEntry(node.Content[i], node.Content[i+1], v.Type(), fields, seen, path)
	}
}

// decodeEntry decodes one key of a mapping and its value.
func (f *File) decodeEntry(key, value *yaml.Node, t reflect.Type, fields map[string]reflect.Value, seen map[string]int, path string) {
	name := joinPath(path, key.Value)
	field, known := fields[key.Value]
	switch first := seen[key.Value]; {
	case key.Kind != yaml.ScalarNode:
		f.report(path, key.Line, "a key must be a plain word")
	case !known:
		f.report(name, key.Line, "unknown key; allowed are %s", strings.Join(yamlKeys(t), ", "))
	case first > 0:
		f.report(name, key.Line, "repeats the key of line %d", first)
	default:
		seen[key.Value] = key.Line
		f.decodeValue(value, field, name)
	}
}

func (f *File) decodeSequence(node *yaml.Node, v reflect.Value, path string) {
	if node.Kind != yaml.SequenceNode {
		f.add(path, node.Line, "must be a list")
		return
	}
	list := reflect.MakeSlice(v.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		f.decodeValue(item, list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	v.Set(list)
}

func (f *File) decodeScalar(node *yaml.Node, v reflect.Value, path string) {
	if node.Kind != yaml.ScalarNode || isFraction(node, v.Type()) || node.Decode(v.Addr().Interface()) != nil {
		f.add(path, node.Line, "must be %s, not %s", kindName(v.Type()), describe(node))
	}
}

// isFraction reports whether the node is a floating-point number, which includes
// numbers with an exponent and infinity, but t is an integer. The YAML library would
// drop the fraction, and decode -.inf as the smallest integer.
func isFraction(node *yaml.Node, t reflect.Type) bool {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return t.Kind() >= reflect.Int && t.Kind() <= reflect.Uint64 && node.ShortTag() == "!!float"
}

// kindName describes a type to the author of a file.
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

// collectFields maps the yaml keys of a struct to its fields.
func collectFields(v reflect.Value, fields map[string]reflect.Value) {
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag.Get("yaml")
		if tag == inlineOption {
			collectFields(v.Field(i), fields)
			continue
		}
		fields[tag] = v.Field(i)
	}
}

// yamlKeys lists the yaml keys of a struct in the order of its fields.
func yamlKeys(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		field := t.Field(i)
		tag := field.Tag.Get("yaml")
		if tag == inlineOption {
			names = append(names, yamlKeys(field.Type)...)
			continue
		}
		names = append(names, tag)
	}
	return names
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
