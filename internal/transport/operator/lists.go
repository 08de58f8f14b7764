package operator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/rollout"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/debugapi"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

type movesCommand struct {
	Environment string `arg:"" enum:"trial,production" help:"trial or production."`
}

// Help implements kong's detailed help.
func (movesCommand) Help() string {
	return "Lists the records of version moves, the latest last.\n\nExample: svctl moves production"
}

// listedMove is the JSON form of a move.
type listedMove struct {
	Name     string    `json:"name"`
	Target   string    `json:"target"`
	Previous string    `json:"previous"`
	State    string    `json:"state"`
	Share    float64   `json:"share"`
	FinishBy time.Time `json:"finish_by"`
	Reason   string    `json:"reason"`
	At       time.Time `json:"at"` // end of the move, or its last change of share
	// Counts and the highest share of the target version.
	Requests     uint64  `json:"requests"`
	Failures     uint64  `json:"failures"`
	HighestShare float64 `json:"highest_share"`
}

func newListedMove(m rollout.Move) listedMove {
	at := m.Ended
	if at.IsZero() {
		at = m.ShareSince
	}
	return listedMove{
		Name:         m.Serves,
		Target:       m.Plan.Target,
		Previous:     m.Plan.Previous,
		State:        string(m.State),
		Share:        m.Share,
		FinishBy:     m.Plan.FinishBy,
		Reason:       m.Reason,
		At:           at,
		Requests:     m.Figures.Requests,
		Failures:     m.Figures.Failures,
		HighestShare: m.Figures.HighestShare,
	}
}

// Run implements the command.
func (c *movesCommand) Run(r *invocation) error {
	p, err := r.platform()
	if err != nil {
		return err
	}
	rows, err := p.Moves.List(r.ctx, movesPrefix(c.Environment))
	if err != nil {
		return trace.Wrap(err, "moves of environment %s", c.Environment)
	}
	list := make([]listedMove, 0, len(rows))
	for _, row := range rows {
		list = append(list, newListedMove(row.Value))
	}
	slices.SortStableFunc(list, func(a, b listedMove) int { return a.At.Compare(b.At) })
	t := table{header: []any{"NAME", "TARGET", "PREVIOUS", "STATE", "SHARE", "FINISH BY", "AT", "REQUESTS", "FAILURES", "REASON"}}
	for _, m := range list {
		share := fmt.Sprintf("%.0f%%", 100*m.Share)
		t.rows = append(t.rows, []any{m.Name, m.Target, dash(m.Previous), m.State, share, timeText(m.FinishBy), timeText(m.At), m.Requests, m.Failures, dash(m.Reason)})
	}
	return r.out.print(list, t)
}

type instancesCommand struct {
	Daemon string `help:"Debug URL of an entry or control process, which then tells what it knows; the platform is not asked." placeholder:"URL"`
}

// Help implements kong's detailed help.
func (instancesCommand) Help() string {
	return `The platform's list lags behind. A daemon tells the state of each instance as it sees it, and the time since it
last heard of the instance.

Examples:
  svctl instances --output json
  svctl instances --daemon http://10.1.0.1:9090`
}

// Validate implements kong's check of flags.
func (c *instancesCommand) Validate() error { return checkDaemon(c.Daemon) }

// checkDaemon checks the flag --daemon, which may be left out.
func checkDaemon(text string) error {
	if text == "" {
		return nil
	}
	return checkURL("--daemon", text)
}

// listedInstance is the JSON form of an instance.
type listedInstance struct {
	ID             model.InstanceID    `json:"id"`
	State          model.InstanceState `json:"state"`
	Region         string              `json:"region"`
	FailureDomain  model.FailureDomain `json:"failure_domain"`
	CallerAddress  string              `json:"caller_address"`
	EntryAddress   string              `json:"entry_address"`
	ControlAddress string              `json:"control_address"`
}

// Run implements the command.
func (c *instancesCommand) Run(r *invocation) error {
	if c.Daemon != "" {
		return c.listFromDaemon(r)
	}
	p, err := r.platform()
	if err != nil {
		return err
	}
	found, err := p.Instances(r.ctx)
	if err != nil {
		return trace.Wrap(err, "list of instances")
	}
	list := make([]listedInstance, 0, len(found))
	for _, i := range found {
		list = append(list, listedInstance{i.ID, i.State, i.Region, i.FailureDomain, i.CallerAddress, i.EntryAddress, i.ControlAddress})
	}
	slices.SortFunc(list, func(a, b listedInstance) int { return cmp.Compare(a.ID, b.ID) })
	t := table{header: []any{"ID", "STATE", "REGION", "FAILURE DOMAIN", "CALLERS", "ENTRY", "CONTROL"}}
	for _, i := range list {
		t.rows = append(t.rows, []any{i.ID, i.State, i.Region, i.FailureDomain, dash(i.CallerAddress), dash(i.EntryAddress), dash(i.ControlAddress)})
	}
	return r.out.print(list, t)
}

// askDaemon prints the instances as a daemon sees them.
func (c *instancesCommand) listFromDaemon(r *invocation) error {
	var found debugapi.Instances
	if err := r.getDebug(daemon{"--daemon", c.Daemon}, debugapi.InstancesPath, &found); err != nil {
		return err
	}
	return r.out.print(found, daemonInstances(found))
}

func daemonInstances(found debugapi.Instances) table {
	t := table{
		header: []any{"ID", "STATE", "REGION", "FAILURE DOMAIN", "CALLERS", "ENTRY", "CONTROL", "HEARD OF"},
		note:   viewerText(found.Viewer),
	}
	for _, i := range found.Instances {
		t.rows = append(t.rows, []any{
			i.ID, i.State, i.Region, i.FailureDomain, dash(i.CallerAddress), dash(i.EntryAddress), dash(i.ControlAddress), agoText(i.Age),
		})
	}
	return t
}

// agoText prints the age of a report, or "never" for none.
func agoText(seconds *float64) string {
	if seconds == nil {
		return "never"
	}
	return ageText(seconds) + " ago"
}

type upstreamsCommand struct {
	Environment string `arg:"" optional:"" enum:"trial,production" default:"production" help:"trial or production (default)."`
	Daemon      string `help:"Debug URL of an entry or control process, which then tells what it knows; the platform is not asked." placeholder:"URL"`
}

// Help implements kong's detailed help.
func (upstreamsCommand) Help() string {
	return `Without --daemon, the document in force is shown. A daemon tells the health and load of each upstream as it
sees them, and the age of the last report.

Examples:
  svctl upstreams trial
  svctl upstreams production --daemon http://10.1.0.1:9090`
}

// Validate implements kong's check of flags.
func (c *upstreamsCommand) Validate() error { return checkDaemon(c.Daemon) }

// listedUpstream is the JSON form of an upstream.
type listedUpstream struct {
	ID            model.UpstreamID    `json:"id"`
	Kind          model.UpstreamKind  `json:"kind"`
	Address       string              `json:"address"`
	Region        string              `json:"region"`
	FailureDomain model.FailureDomain `json:"failure_domain"`
	Serves        string              `json:"serves"`
	Version       string              `json:"version"`
	Fencing       model.FencingMode   `json:"fencing"`
	Adapters      []string            `json:"adapters,omitempty"`
	Role          string              `json:"role,omitempty"`
	Slots         int                 `json:"slots,omitempty"`
}

// Run implements the command.
func (c *upstreamsCommand) Run(r *invocation) error {
	if c.Daemon != "" {
		return c.listFromDaemon(r)
	}
	p, err := r.platform()
	if err != nil {
		return err
	}
	found, err := r.requireInForce(p, c.Environment)
	if err != nil {
		return err
	}
	list := make([]listedUpstream, 0, len(found.doc.Upstreams))
	t := table{header: []any{"ID", "KIND", "SERVES", "VERSION", "ADDRESS", "REGION", "FAILURE DOMAIN", "FENCING"}}
	for _, u := range found.doc.Upstreams {
		list = append(list, listedUpstream(u))
		t.rows = append(t.rows, []any{u.ID, u.Kind, u.Serves, u.Version, u.Address, u.Region, u.FailureDomain, u.Fencing})
	}
	return r.out.print(list, t)
}

// askDaemon prints the upstreams as a daemon sees them.
func (c *upstreamsCommand) listFromDaemon(r *invocation) error {
	var found debugapi.Upstreams
	if err := r.getDebug(daemon{"--daemon", c.Daemon}, debugapi.UpstreamsPath, &found); err != nil {
		return err
	}
	if environment := found.Viewer.Environment; environment != c.Environment {
		return trace.BadParameter("<environment> must be %s, that of --daemon %s, not %q", environment, c.Daemon, c.Environment)
	}
	return r.out.print(found, daemonUpstreams(found))
}

func daemonUpstreams(found debugapi.Upstreams) table {
	t := table{
		header: []any{"ID", "KIND", "SERVES", "VERSION", "ADDRESS", "HEALTH", "NEW WORK", "RUNNING", "WAITING", "IN FLIGHT", "REPORTED"},
		note:   viewerText(found.Viewer),
	}
	for _, u := range found.Upstreams {
		t.rows = append(t.rows, []any{
			u.ID, u.Kind, u.Serves, u.Version, u.Address, u.Health, yesOrNo(u.Usable), u.Running, u.Waiting, u.InFlight, agoText(u.Age),
		})
	}
	return t
}

func yesOrNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}
