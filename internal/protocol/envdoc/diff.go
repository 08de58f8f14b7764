package envdoc

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Change is one difference between two documents. Old is empty for an added entry,
// New for a removed entry.
type Change struct {
	Path string // such as upstreams[engine-a1].version
	Old  string
	New  string
}

// String returns "path: old -> new", or "path: added" and "path: removed".
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("%s: added %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("%s: removed %s", c.Path, c.Old)
	}
	return fmt.Sprintf("%s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff lists what differs between two documents. Entries are matched by ID or
// name, so their order makes no difference. Environment, generation and hash
// are not compared. A nil document counts as empty.
func Diff(a, b *model.Document) []Change {
	a, b = orEmpty(a), orEmpty(b)
	var out []Change
	diffField(&out, "require_credential", a.RequireCredential, b.RequireCredential)
	out = append(out, diffEntries("organisations", a.Organisations, b.Organisations, organisationID)...)
	out = append(out, diffEntries("models", a.Models, b.Models, modelName)...)
	out = append(out, diffEntries("services", a.Services, b.Services, serviceName)...)
	return append(out, diffEntries("upstreams", a.Upstreams, b.Upstreams, upstreamID)...)
}

func orEmpty(d *model.Document) *model.Document {
	if d == nil {
		return &model.Document{}
	}
	return d
}

func organisationID(o model.Organisation) string { return string(o.ID) }
func modelName(m model.Model) string             { return m.Name }
func serviceName(s model.Service) string         { return s.Name }
func upstreamID(u model.Upstream) string         { return string(u.ID) }
func routeName(r model.Route) string             { return r.Method + " " + r.Path }

// diffEntries compares two lists whose entries are matched by ID. It returns removed
// and changed entries in the order of a, then added entries in the order of b.
func diffEntries[T any](list string, a, b []T, id func(T) string) []Change {
	var out []Change
	newByID := byID(b, id)
	for _, old := range a {
		path := fmt.Sprintf("%s[%s]", list, id(old))
		if updated, kept := newByID[id(old)]; kept {
			diffFields(&out, path, reflect.ValueOf(old), reflect.ValueOf(updated))
			continue
		}
		out = append(out, Change{Path: path, Old: formatValue(old)})
	}
	oldByID := byID(a, id)
	for _, updated := range b {
		if _, kept := oldByID[id(updated)]; !kept {
			out = append(out, Change{Path: fmt.Sprintf("%s[%s]", list, id(updated)), New: formatValue(updated)})
		}
	}
	return out
}

func byID[T any](list []T, id func(T) string) map[string]T {
	out := make(map[string]T, len(list))
	for _, item := range list {
		out[id(item)] = item
	}
	return out
}

// diffFields compares two structs field by field, and plans and routes recursively.
func diffFields(out *[]Change, path string, a, b reflect.Value) {
	for i := range a.NumField() {
		name := path + "." + yamlName(a.Type().Field(i).Name)
		old, updated := a.Field(i).Interface(), b.Field(i).Interface()
		switch old := old.(type) {
		case model.VersionPlan:
			diffFields(out, path, reflect.ValueOf(old), b.Field(i))
		case []model.Route:
			*out = append(*out, diffEntries(name, old, updated.([]model.Route), routeName)...)
		default:
			diffField(out, name, old, updated)
		}
	}
}

func diffField(out *[]Change, path string, old, updated any) {
	if a, b := formatValue(old), formatValue(updated); a != b {
		*out = append(*out, Change{Path: path, Old: a, New: b})
	}
}

// yamlNames maps the fields of the core types to their YAML keys.
var yamlNames = map[string]string{
	"ID": "id", "MaxInFlight": "max_in_flight", "CredentialSHA256": "credential_sha256",
	"FinishBy": "finish_by", "MaxQueue": "max_queue", "FailureDomain": "failure_domain",
	"Name": "name", "Target": "target", "Previous": "previous", "Weight": "weight",
	"Routes": "routes", "Method": "method", "Path": "path", "Idempotent": "idempotent",
	"Timeout": "timeout", "Kind": "kind", "Address": "address", "Region": "region",
	"Serves": "serves", "Version": "version", "Fencing": "fencing",
	"Adapters": "adapters", "Role": "role",
}

func yamlName(field string) string { return yamlNames[field] }

// formatValue formats a value on one line. An empty value becomes "none", because in
// a Change an empty string means that the entry does not exist.
func formatValue(value any) string {
	switch v := value.(type) {
	case time.Time:
		if v.IsZero() {
			return "none"
		}
		return v.Format(time.RFC3339)
	case []string:
		if len(v) == 0 {
			return "none"
		}
		return strings.Join(v, ", ")
	case model.Organisation:
		return fmt.Sprintf("(weight %d)", v.Weight)
	case model.Model:
		return fmt.Sprintf("(target %s)", v.Plan.Target)
	case model.Service:
		return fmt.Sprintf("(target %s, %d routes)", v.Plan.Target, len(v.Routes))
	case model.Route:
		return fmt.Sprintf("(idempotent %t, timeout %s)", v.Idempotent, v.Timeout)
	case model.Upstream:
		return fmt.Sprintf("(%s %s of %s at %s)", v.Kind, v.Version, v.Serves, v.Address)
	}
	if s := fmt.Sprint(value); s != "" {
		return s
	}
	return "none"
}
