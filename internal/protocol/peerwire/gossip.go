package peerwire

import (
	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/gossip"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
)

type exchangeWire struct {
	Digest *digestWire `cbor:"1,keyasint,omitempty"`
	Delta  *deltaWire  `cbor:"2,keyasint,omitempty"`
}

type digestWire struct {
	Region     string       `cbor:"1,keyasint"`
	Vectors    []vectorWire `cbor:"2,keyasint,omitempty"`
	Sets       []uint64     `cbor:"3,keyasint,omitempty"`
	Generation uint64       `cbor:"4,keyasint,omitempty"`
	Hash       string       `cbor:"5,keyasint,omitempty"`
	Full       bool         `cbor:"6,keyasint,omitempty"`
}

type vectorWire struct {
	_        struct{} `cbor:",toarray"`
	Region   string
	Roster   uint64
	Versions []byte
	Origins  []byte
}

type deltaWire struct {
	Updates  []updateWire          `cbor:"1,keyasint,omitempty"`
	States   []gossip.Status       `cbor:"2,keyasint,omitempty"`
	Stops    []model.Stop          `cbor:"3,keyasint,omitempty"`
	Shares   []model.Share         `cbor:"4,keyasint,omitempty"`
	Leaves   []gossip.Leave        `cbor:"5,keyasint,omitempty"`
	Suspects suspect.Rows          `cbor:"6,keyasint,omitempty"`
	Steps    []gossip.DocumentStep `cbor:"8,keyasint,omitempty"`
	Document *model.Document       `cbor:"9,keyasint,omitempty"`
}

type updateWire struct {
	_           struct{} `cbor:",toarray"`
	ID          model.InstanceID
	Incarnation uint64
	From        uint64
	To          uint64
	Instance    *model.Instance
	Reports     []byte
	Evidence    []byte
}

// EncodeExchange encodes an Exchange.
func EncodeExchange(e gossip.Exchange) (Message, error) {
	return encodeBody(KindGossip, exchangeWire{Digest: digestToWire(e.Digest), Delta: deltaToWire(e.Delta)})
}

// DecodeExchange decodes an Exchange.
func DecodeExchange(m Message) (gossip.Exchange, error) {
	w, err := decodeBody[exchangeWire](KindGossip, m)
	if err != nil {
		return gossip.Exchange{}, err
	}
	digest, err := digestFromWire(w.Digest)
	if err != nil {
		return gossip.Exchange{}, err
	}
	delta, err := deltaFromWire(w.Delta)
	return gossip.Exchange{Digest: digest, Delta: delta}, err
}

func digestToWire(d *gossip.Digest) *digestWire {
	if d == nil {
		return nil
	}
	w := &digestWire{
		Region: d.Region, Full: d.Full, Sets: d.Sets[:],
		Generation: d.Document.Generation, Hash: d.Document.Hash,
	}
	for _, v := range d.Vectors {
		wire := vectorWire{Region: v.Region, Roster: v.Roster, Versions: packVersions(v.Versions)}
		if v.Named {
			wire.Origins = packOrigins(v.Origins)
		}
		w.Vectors = append(w.Vectors, wire)
	}
	return w
}

func digestFromWire(w *digestWire) (*gossip.Digest, error) {
	if w == nil {
		return nil, nil
	}
	d := &gossip.Digest{
		Region: w.Region, Full: w.Full,
		Document: gossip.DocumentHead{Generation: w.Generation, Hash: w.Hash},
	}
	copy(d.Sets[:], w.Sets)
	for _, v := range w.Vectors {
		vector, err := vectorFromWire(v)
		if err != nil {
			return nil, err
		}
		d.Vectors = append(d.Vectors, vector)
	}
	return d, nil
}

func vectorFromWire(w vectorWire) (gossip.Vector, error) {
	v := gossip.Vector{Region: w.Region, Roster: w.Roster, Named: len(w.Origins) > 0}
	var err error
	if v.Versions, err = unpackVersions(w.Versions); err != nil {
		return v, err
	}
	if !v.Named {
		return v, nil
	}
	if v.Origins, err = unpackOrigins(w.Origins); err != nil {
		return v, err
	}
	if len(v.Origins) != len(v.Versions) {
		return v, trace.BadParameter("vector has %d origins and %d versions", len(v.Origins), len(v.Versions))
	}
	return v, nil
}

func deltaToWire(d *gossip.Delta) *deltaWire {
	if d == nil {
		return nil
	}
	w := &deltaWire{
		States: d.States, Stops: d.Stops, Shares: d.Shares, Leaves: d.Leaves,
		Suspects: d.Suspects, Steps: d.Steps, Document: d.Document,
	}
	for _, u := range d.Updates {
		w.Updates = append(w.Updates, updateToWire(u))
	}
	return w
}

func updateToWire(u gossip.Update) updateWire {
	w := updateWire{ID: u.Origin.ID, Incarnation: u.Origin.Incarnation, From: u.From, To: u.To, Instance: u.Instance}
	if len(u.Reports) > 0 {
		w.Reports = packReports(u.Reports)
	}
	if len(u.Evidence) > 0 {
		w.Evidence = packEvidence(u.Evidence)
	}
	return w
}

func deltaFromWire(w *deltaWire) (*gossip.Delta, error) {
	if w == nil {
		return nil, nil
	}
	d := &gossip.Delta{
		States: w.States, Stops: w.Stops, Shares: w.Shares, Leaves: w.Leaves,
		Suspects: w.Suspects, Steps: w.Steps, Document: w.Document,
	}
	for _, u := range w.Updates {
		update, err := updateFromWire(u)
		if err != nil {
			return nil, err
		}
		d.Updates = append(d.Updates, update)
	}
	return d, nil
}

func updateFromWire(w updateWire) (gossip.Update, error) {
	u := gossip.Update{
		Origin: gossip.Origin{ID: w.ID, Incarnation: w.Incarnation},
		From:   w.From, To: w.To, Instance: w.Instance,
	}
	var err error
	if len(w.Reports) > 0 {
		if u.Reports, err = unpackReports(w.Reports); err != nil {
			return u, err
		}
	}
	if len(w.Evidence) > 0 {
		u.Evidence, err = unpackEvidence(w.ID, w.Evidence)
	}
	return u, err
}
