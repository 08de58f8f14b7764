package platformapi

import (
	"encoding/json"
	"net"
	"slices"
	"strconv"

	"github.com/gravitational/trace"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/jsonsplit"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Kinds of entries in the platform's list. Upstreams use the names of
// model.UpstreamKind.
const (
	KindInstance = "instance"
	KindEngine   = string(model.KindEngine)
	KindService  = string(model.KindService)
)

// States of entries.
const (
	StatusLive    = "live"
	StatusLeaving = "leaving"
)

// Entry is one machine in the platform's list: an instance of the system or
// an upstream.
type Entry struct {
	ID            string `json:"id"`
	Kind          string `json:"kind"`
	Status        string `json:"status"`
	Region        string `json:"region,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`

	// Fields of instances.
	Incarnation    uint64 `json:"incarnation,omitempty"`
	CallerAddress  string `json:"caller_address,omitempty"`
	EntryAddress   string `json:"entry_address,omitempty"`
	ControlAddress string `json:"control_address,omitempty"`

	// Fields of upstreams.
	Address string `json:"address,omitempty"`
	Serves  string `json:"serves,omitempty"`
	Version string `json:"version,omitempty"`
	Fencing string `json:"fencing,omitempty"`
}

// EntryList is the body of GET InstancesPath. Entries are sorted by ID.
type EntryList struct {
	Entries []Entry `json:"entries"`
}

// DecodeEntryList decodes the list. skipped says why entries were left out: others write
// to the list too, and an entry of theirs that cannot be read must not hide the rest.
func DecodeEntryList(body []byte) (list EntryList, skipped []error, err error) {
	if json.Unmarshal(body, &list) != nil {
		if list.Entries, skipped, err = decodeEachEntry(body); err != nil {
			return EntryList{}, nil, err
		}
	}
	list.Entries = slices.DeleteFunc(list.Entries, func(e Entry) bool {
		err := e.checkAddresses()
		if err != nil {
			skipped = append(skipped, err)
		}
		return err != nil
	})
	return list, skipped, nil
}

// decodeEachEntry decodes each entry of a list by itself, which takes longer than to
// decode the list as one value.
func decodeEachEntry(body []byte) (entries []Entry, skipped []error, err error) {
	fields, err := jsonsplit.Object(body)
	if err != nil {
		return nil, nil, err
	}
	if raw := string(fields["entries"]); raw == "" || raw == "null" {
		return nil, nil, nil
	}
	texts, err := jsonsplit.Array(fields["entries"])
	if err != nil {
		return nil, nil, trace.Wrap(err, "entries")
	}
	for _, text := range texts {
		var entry Entry
		if err := json.Unmarshal(text, &entry); err != nil {
			skipped = append(skipped, err)
			continue
		}
		entries = append(entries, entry)
	}
	return entries, skipped, nil
}

// checkAddresses returns an error for an address that cannot be connected to.
func (e Entry) checkAddresses() error {
	for _, address := range []string{e.Address, e.CallerAddress, e.EntryAddress, e.ControlAddress} {
		if address == "" {
			continue
		}
		_, port, err := net.SplitHostPort(address)
		if err == nil {
			_, err = strconv.ParseUint(port, 10, 16)
		}
		if err != nil {
			return trace.BadParameter("entry %q: address %q is not HOST:PORT", e.ID, address)
		}
	}
	return nil
}

// InstanceEntry returns the entry of an instance. Of the instance states, an entry
// publishes only leaving; the others are what other instances suspect.
func InstanceEntry(instance model.Instance) Entry {
	return Entry{
		ID:             string(instance.ID),
		Kind:           KindInstance,
		Status:         entryStatus(instance.State == model.InstanceLeaving),
		Region:         instance.Region,
		FailureDomain:  string(instance.FailureDomain),
		Incarnation:    instance.Incarnation,
		CallerAddress:  instance.CallerAddress,
		EntryAddress:   instance.EntryAddress,
		ControlAddress: instance.ControlAddress,
	}
}

// UpstreamEntry returns the entry of an upstream.
func UpstreamEntry(upstream model.Upstream, leaving bool) Entry {
	return Entry{
		ID:            string(upstream.ID),
		Kind:          string(upstream.Kind),
		Status:        entryStatus(leaving),
		Region:        upstream.Region,
		FailureDomain: string(upstream.FailureDomain),
		Address:       upstream.Address,
		Serves:        upstream.Serves,
		Version:       upstream.Version,
		Fencing:       string(upstream.Fencing),
	}
}

// Leaving reports whether the machine is leaving.
func (e Entry) Leaving() bool {
	return e.Status == StatusLeaving
}

// Instance returns the instance of an entry of kind KindInstance.
func (e Entry) Instance() model.Instance {
	state := model.InstanceLive
	if e.Leaving() {
		state = model.InstanceLeaving
	}
	return model.Instance{
		ID:             model.InstanceID(e.ID),
		Incarnation:    e.Incarnation,
		Region:         e.Region,
		FailureDomain:  model.FailureDomain(e.FailureDomain),
		CallerAddress:  e.CallerAddress,
		EntryAddress:   e.EntryAddress,
		ControlAddress: e.ControlAddress,
		State:          state,
	}
}

// Upstream returns the upstream of an entry of kind KindEngine or KindService.
func (e Entry) Upstream() model.Upstream {
	return model.Upstream{
		ID:            model.UpstreamID(e.ID),
		Kind:          model.UpstreamKind(e.Kind),
		Address:       e.Address,
		Region:        e.Region,
		FailureDomain: model.FailureDomain(e.FailureDomain),
		Serves:        e.Serves,
		Version:       e.Version,
		Fencing:       model.FencingMode(e.Fencing),
	}
}

func entryStatus(leaving bool) string {
	if leaving {
		return StatusLeaving
	}
	return StatusLive
}
