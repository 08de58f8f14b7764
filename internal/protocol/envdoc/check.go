package envdoc

import (
	"fmt"
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/strictyaml"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// checker checks rules that involve more than one field of a document.
type checker struct {
	decoded *strictyaml.File // receives the faults
	file    *file
	now     time.Time // zero means that a finish_by in the past is allowed
	// upstreamCounts holds the number of upstreams of each version.
	upstreamCounts map[model.VersionKey]int
	// kinds maps the names of models and services to the kind of upstream
	// that serves them.
	kinds map[string]model.UpstreamKind
}

func newChecker(decoded *strictyaml.File, f *file, now time.Time) *checker {
	c := &checker{
		decoded: decoded, file: f, now: now,
		upstreamCounts: map[model.VersionKey]int{},
		kinds:          map[string]model.UpstreamKind{},
	}
	for _, u := range f.Upstreams {
		c.upstreamCounts[model.VersionKey{Serves: u.Serves, Version: u.Version}]++
	}
	for _, m := range f.Models {
		c.kinds[m.Name] = model.KindEngine
	}
	for _, s := range f.Services {
		c.kinds[s.Name] = model.KindService
	}
	return c
}

func (c *checker) check() {
	if len(c.file.Models)+len(c.file.Services) == 0 {
		c.decoded.Add("", "the document names no model and no service")
	}
	c.checkOrganisations()
	c.checkPlans()
	c.checkRoutes()
	c.checkUpstreams()
}

// uniqueValues reports values that occur twice. It ignores empty values, which have a
// fault already.
type uniqueValues struct {
	decoded *strictyaml.File
	first   map[string]string // path of the first use of each value
}

func (c *checker) newUnique() uniqueValues {
	return uniqueValues{decoded: c.decoded, first: map[string]string{}}
}

func (u uniqueValues) add(path, value string) {
	if value == "" {
		return
	}
	if first, taken := u.first[value]; taken {
		u.decoded.Add(path, "%q is already used by %s in line %d", value, first, u.decoded.Line(first))
		return
	}
	u.first[value] = path
}

func (c *checker) checkOrganisations() {
	ids := c.newUnique()
	for i, o := range c.file.Organisations {
		path := fmt.Sprintf("organisations[%d]", i)
		ids.add(path+".id", o.ID)
		if c.file.RequireCredential && o.CredentialSHA256 == "" {
			c.decoded.Add(path+".credential_sha256", "is required because require_credential is true")
		}
	}
}

// checkPlans checks the names and plans of models and services. Models and services
// share one name space, because leases and move records are named after them.
func (c *checker) checkPlans() {
	names := c.newUnique()
	for i, m := range c.file.Models {
		path := fmt.Sprintf("models[%d]", i)
		names.add(path+".name", m.Name)
		c.checkPlan(path, m.Name, m.Plan)
	}
	for i, s := range c.file.Services {
		path := fmt.Sprintf("services[%d]", i)
		names.add(path+".name", s.Name)
		c.checkPlan(path, s.Name, s.Plan)
	}
}

func (c *checker) checkPlan(path, name string, p Plan) {
	c.checkVersion(path+".target", name, p.Target)
	c.checkVersion(path+".previous", name, p.Previous)
	switch {
	case p.Previous != "" && p.Previous == p.Target:
		c.decoded.Add(path+".previous", "must differ from target %q; leave it out when there is no move", p.Target)
	case p.Previous != "" && p.FinishBy == "":
		c.decoded.Add(path+".finish_by", "is required because previous is set")
	case p.Previous == "" && p.FinishBy != "":
		c.decoded.Add(path+".finish_by", "is allowed only with previous, the version that the move leaves")
	}
	c.checkFinishBy(path+".finish_by", p.FinishBy)
}

// checkVersion checks that upstreams serve the version of a plan.
func (c *checker) checkVersion(path, name, version string) {
	if version == "" || c.upstreamCounts[model.VersionKey{Serves: name, Version: version}] > 0 {
		return
	}
	c.decoded.Add(path, "no upstream serves version %q of %q", version, name)
}

func (c *checker) checkFinishBy(path, text string) {
	at, err := time.Parse(time.RFC3339, text)
	if err == nil && !c.now.IsZero() && !at.After(c.now) {
		c.decoded.Add(path, "must lie in the future, not at %q; it is %s", text, c.now.UTC().Format(time.RFC3339))
	}
}

func (c *checker) checkRoutes() {
	for i, s := range c.file.Services {
		routes := c.newUnique()
		for j, r := range s.Routes {
			if r.Method != "" && r.Path != "" {
				routes.add(fmt.Sprintf("services[%d].routes[%d]", i, j), r.Method+" "+r.Path)
			}
		}
	}
}

func (c *checker) checkUpstreams() {
	ids, addresses := c.newUnique(), c.newUnique()
	for i, u := range c.file.Upstreams {
		path := fmt.Sprintf("upstreams[%d]", i)
		ids.add(path+".id", u.ID)
		addresses.add(path+".address", u.Address)
		c.checkServes(path+".serves", u)
		if u.Kind == string(model.KindService) && (len(u.Adapters) > 0 || u.Role != "") {
			c.decoded.Add(path+".kind", "only engines have adapters and roles, not upstreams of kind %s", u.Kind)
		}
	}
}

// checkServes checks that an upstream's model or service exists.
func (c *checker) checkServes(path string, u upstream) {
	kind, known := c.kinds[u.Serves]
	switch {
	case u.Serves == "" || u.Kind == "":
	case !known:
		c.decoded.Add(path, "no model or service is named %q", u.Serves)
	case string(kind) != u.Kind:
		c.decoded.Add(path, "%q is served by upstreams of kind %s, not %s", u.Serves, kind, u.Kind)
	}
}
