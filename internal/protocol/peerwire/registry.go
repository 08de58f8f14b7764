package peerwire

import (
	"cmp"
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
	Packed  bool   `cbor:"5,keyasint,omitempty"` // the sender decodes packed rules
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
	Packed    []byte              `cbor:"12,keyasint,omitempty"` // sent in place of Rules to a sender that asked for it
	// Ages tells the parts of AgeMs apart; builds before it sent and read AgeMs alone.
	Ages *agesRow `cbor:"13,keyasint,omitempty"`
	// Revision is that of the store up to which the entries are complete, and Lapsed are
	// those of Changed that the store does not have. Builds before them send neither.
	Revision uint64             `cbor:"14,keyasint,omitempty"`
	Lapsed   []model.UpstreamID `cbor:"15,keyasint,omitempty"`
	// ReadForMs belongs to Ages, whose form earlier builds require as it is.
	ReadForMs uint32           `cbor:"16,keyasint,omitempty"`
	Root      model.InstanceID `cbor:"17,keyasint,omitempty"`
	Era       uint64           `cbor:"18,keyasint,omitempty"` // of Revision; builds before it send none
}

// agesRow says how old the data in a registryDelta are.
type agesRow struct {
	_         struct{} `cbor:",toarray"`
	EntriesMs uint32
	RulesMs   uint32
	Hops      uint32
	RulesHops uint32
}

func toAgesRow(a registry.Ages) *agesRow {
	return &agesRow{
		EntriesMs: clampCount(int(a.Entries.Milliseconds())),
		RulesMs:   clampCount(int(a.Rules.Milliseconds())),
		Hops:      clampCount(a.Hops),
		RulesHops: clampCount(a.RulesHops),
	}
}

// ages returns the ages in a delta.
func (b *registryDelta) ages() registry.Ages {
	if b.Ages == nil {
		age := time.Duration(b.AgeMs) * time.Millisecond
		return registry.Ages{Entries: age, Rules: age}
	}
	return registry.Ages{
		ReadFor:   time.Duration(b.ReadForMs) * time.Millisecond,
		Entries:   time.Duration(b.Ages.EntriesMs) * time.Millisecond,
		Rules:     time.Duration(b.Ages.RulesMs) * time.Millisecond,
		Hops:      int(b.Ages.Hops),
		RulesHops: int(b.Ages.RulesHops),
	}
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
	body, err := encoding.Marshal(registryPoll{
		Reader:  cursor.ReaderIncarnation,
		Version: cursor.Version,
		Rules:   cursor.RulesRevision,
		WaitMs:  clampCount(int(wait.Milliseconds())),
		Packed:  true,
	})
	return Message{Kind: KindRegistry, Body: body}, trace.Wrap(err)
}

// NewsAsk is a decoded poll for registry changes.
type NewsAsk struct {
	Cursor registry.Cursor
	Wait   time.Duration // for which the receiver may wait for a change
	Packed bool          // the sender decodes packed rules
}

// DecodeNewsAsk decodes a poll for registry changes.
func DecodeNewsAsk(m Message) (NewsAsk, error) {
	var b registryPoll
	if err := decoding.Unmarshal(m.Body, &b); err != nil {
		return NewsAsk{}, trace.BadParameter("registry message: %v", err)
	}
	return NewsAsk{
		Cursor: registry.Cursor{ReaderIncarnation: b.Reader, Version: b.Version, RulesRevision: b.Rules},
		Wait:   time.Duration(b.WaitMs) * time.Millisecond,
		Packed: b.Packed,
	}, nil
}

// EncodeNews encodes registry changes as the reply to a poll. packed, if it is not
// nil, are the rules as PackRules encoded them.
func EncodeNews(n registry.Delta, packed []byte) (Message, error) {
	b := registryDelta{
		Reader:  n.ReaderIncarnation,
		Version: n.Version,
		Whole:   n.Snapshot,
		Removed: n.Removed,
		Rules:   n.Rules,
		AgeMs:   clampCount(int(n.Ages.Max().Milliseconds())),
		Ages:    toAgesRow(n.Ages),
		Source:  n.Source,
		Left:    n.RemovedInstances,
		Moves:   n.Moves,
		Packed:  packed,

		Era:       uint64(n.Era),
		Revision:  uint64(n.Revision),
		Lapsed:    n.Lapsed,
		ReadForMs: clampCount(int(n.Ages.ReadFor.Milliseconds())),
		Root:      n.RootReader,
	}
	if packed != nil {
		b.Rules = nil
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

// DecodeNews decodes the registry changes in a reply to a poll. current are the rules
// whose revision the poll named; nil means none.
func DecodeNews(m Message, current *model.RoutingRules) (registry.Delta, error) {
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
		Ages:              b.ages(),
		Source:            b.Source,
		RemovedInstances:  b.Left,
		Moves:             b.Moves,
		Era:               registry.Era(b.Era),
		Revision:          registry.Revision(b.Revision),
		Lapsed:            b.Lapsed,
		RootReader:        cmp.Or(b.Root, b.Source),
	}
	if b.Packed != nil {
		var err error
		if n.Rules, err = unpackRules(b.Packed, current); err != nil {
			return registry.Delta{}, err
		}
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
