package peerwire

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/registry"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// registryPoll asks a reader of the registry for the changes since the sender's
// cursor. The reader may delay its reply by WaitMs until there is a change.
type registryPoll struct {
	Reader  uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Rules   uint64 `cbor:"3,keyasint"`
	WaitMs  uint32 `cbor:"4,keyasint"`
}

// registryDelta is the reply to a registryPoll.
type registryDelta struct {
	Reader  uint64              `cbor:"1,keyasint"`
	Version uint64              `cbor:"2,keyasint"`
	Whole   bool                `cbor:"3,keyasint,omitempty"`
	Changed []entryRow          `cbor:"4,keyasint,omitempty"`
	Removed []model.UpstreamID  `cbor:"5,keyasint,omitempty"`
	Rules   *model.RoutingRules `cbor:"6,keyasint,omitempty"`
	AgeMs   uint32              `cbor:"7,keyasint"`
	// Instances and Left are the added or changed, and the removed instances.
	Instances []instanceRow       `cbor:"8,keyasint,omitempty"`
	Left      []model.InstanceID  `cbor:"9,keyasint,omitempty"`
	Moves     []model.VersionMove `cbor:"10,keyasint,omitempty"`
	Source    model.InstanceID    `cbor:"11,keyasint,omitempty"`
}

// instanceRow is an instance as it announced itself in the platform's store.
type instanceRow struct {
	_           struct{} `cbor:",toarray"`
	ID          model.InstanceID
	Incarnation uint64
	Region      string
	Domain      model.FailureDomain
	Callers     string // IP:port
	Control     string // UDP IP:port
	Fingerprint string
}

// entryRow is an upstream's entry in the platform's store.
type entryRow struct {
	_           struct{} `cbor:",toarray"`
	ID          model.UpstreamID
	Address     string
	Domain      model.FailureDomain
	Serves      string
	Version     string
	Slots       int
	Incarnation uint64
	Sequence    uint64
	Leaving     bool
}

// EncodeNewsAsk encodes a poll for the registry changes since a cursor.
func EncodeNewsAsk(cursor registry.Cursor, wait time.Duration) (Message, error) {
	body, err := encoding.Marshal(registryPoll{cursor.ReaderIncarnation, cursor.Version, cursor.RulesRevision, clampCount(int(wait.Milliseconds()))})
	return Message{Kind: KindRegistry, Body: body}, trace.Wrap(err)
}

// DecodeNewsAsk decodes a poll for registry changes. It returns the sender's cursor
// and the time for which the receiver may wait for a change.
func DecodeNewsAsk(m Message) (registry.Cursor, time.Duration, error) {
	var b registryPoll
	if err := decoding.Unmarshal(m.Body, &b); err != nil {
		return registry.Cursor{}, 0, trace.BadParameter("registry message: %v", err)
	}
	cursor := registry.Cursor{ReaderIncarnation: b.Reader, Version: b.Version, RulesRevision: b.Rules}
	return cursor, time.Duration(b.WaitMs) * time.Millisecond, nil
}

// EncodeNews encodes registry changes as the reply to a poll.
func EncodeNews(n registry.Delta) (Message, error) {
	b := registryDelta{
		Reader:  n.ReaderIncarnation,
		Version: n.Version,
		Whole:   n.Snapshot,
		Removed: n.Removed,
		Rules:   n.Rules,
		AgeMs:   clampCount(int(n.Age.Milliseconds())),
		Source:  n.Source,
		Left:    n.RemovedInstances,
		Moves:   n.Moves,
	}
	for _, in := range n.Instances {
		b.Instances = append(b.Instances, instanceRow{
			ID:          in.ID,
			Incarnation: in.Incarnation,
			Region:      in.Region,
			Domain:      in.FailureDomain,
			Callers:     in.CallerAddress,
			Control:     in.ControlAddress,
			Fingerprint: in.Fingerprint,
		})
	}
	for _, e := range n.Changed {
		b.Changed = append(b.Changed, entryRow{
			ID:          e.Upstream.ID,
			Address:     e.Upstream.Address,
			Domain:      e.Upstream.FailureDomain,
			Serves:      e.Upstream.Serves,
			Version:     e.Upstream.Version,
			Slots:       e.Upstream.Slots,
			Incarnation: e.Incarnation,
			Sequence:    e.Sequence,
			Leaving:     e.Leaving,
		})
	}
	body, err := encoding.Marshal(b)
	return Message{Kind: KindRegistry, Body: body}, trace.Wrap(err)
}

// DecodeNews decodes the registry changes in a reply to a poll.
func DecodeNews(m Message) (registry.Delta, error) {
	var b registryDelta
	if err := decoding.Unmarshal(m.Body, &b); err != nil {
		return registry.Delta{}, trace.BadParameter("registry message: %v", err)
	}
	n := registry.Delta{
		ReaderIncarnation: b.Reader,
		Version:           b.Version,
		Snapshot:          b.Whole,
		Removed:           b.Removed,
		Rules:             b.Rules,
		Age:               time.Duration(b.AgeMs) * time.Millisecond,
		Source:            b.Source,
		RemovedInstances:  b.Left,
		Moves:             b.Moves,
	}
	for _, r := range b.Instances {
		n.Instances = append(n.Instances, model.Instance{
			ID:             r.ID,
			Incarnation:    r.Incarnation,
			Region:         r.Region,
			FailureDomain:  r.Domain,
			CallerAddress:  r.Callers,
			ControlAddress: r.Control,
			State:          model.InstanceLive,
			Fingerprint:    r.Fingerprint,
		})
	}
	for _, r := range b.Changed {
		n.Changed = append(n.Changed, registry.Entry{
			Upstream: model.Upstream{
				ID:            r.ID,
				Kind:          model.KindService,
				Address:       r.Address,
				FailureDomain: r.Domain,
				Serves:        r.Serves,
				Version:       r.Version,
				Slots:         r.Slots,
			},
			Incarnation: r.Incarnation,
			Sequence:    r.Sequence,
			Leaving:     r.Leaving,
		})
	}
	return n, nil
}
