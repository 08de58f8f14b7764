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
	Updates  []byte                  `cbor:"1,keyasint,omitempty"`
	States   []gossip.InstanceStatus `cbor:"2,keyasint,omitempty"`
	Stops    []model.Stop            `cbor:"3,keyasint,omitempty"`
	Shares   []model.Share           `cbor:"4,keyasint,omitempty"`
	Leaves   []gossip.UpstreamLeave  `cbor:"5,keyasint,omitempty"`
	Suspects suspect.Rows            `cbor:"6,keyasint,omitempty"`
	Steps    []gossip.DocumentStep   `cbor:"8,keyasint,omitempty"`
	Document *model.Document         `cbor:"9,keyasint,omitempty"`
	Advance  *vectorWire             `cbor:"10,keyasint,omitempty"`
}

// EncodeExchange encodes an Exchange.
func EncodeExchange(e gossip.Exchange) (Message, error) {
	delta, err := deltaToWire(e.Delta)
	if err != nil {
		return Message{}, err
	}
	return encodeBody(KindGossip, exchangeWire{Digest: digestToWire(e.Digest), Delta: delta})
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
		Region: d.Region, Full: d.AllRegions, Sets: d.Sets[:],
		Generation: d.Document.Generation, Hash: d.Document.Hash,
	}
	for _, v := range d.Vectors {
		w.Vectors = append(w.Vectors, vectorToWire(v))
	}
	return w
}

func vectorToWire(v gossip.VersionVector) vectorWire {
	w := vectorWire{Region: v.Region, Roster: v.Roster, Versions: packVersions(v.Versions)}
	if v.Named {
		w.Origins = packOrigins(v.Origins)
	}
	return w
}

func digestFromWire(w *digestWire) (*gossip.Digest, error) {
	if w == nil {
		return nil, nil
	}
	d := &gossip.Digest{
		Region: w.Region, AllRegions: w.Full,
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

func vectorFromWire(w vectorWire) (gossip.VersionVector, error) {
	v := gossip.VersionVector{Region: w.Region, Roster: w.Roster, Named: len(w.Origins) > 0}
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

func deltaToWire(d *gossip.Delta) (*deltaWire, error) {
	if d == nil {
		return nil, nil
	}
	updates, err := packUpdates(d.Updates)
	w := &deltaWire{
		Updates: updates, States: d.States, Stops: d.Stops, Shares: d.Shares, Leaves: d.Leaves,
		Suspects: d.Suspects, Steps: d.Steps, Document: d.Document,
	}
	if d.ResultingVersions != nil {
		advance := vectorToWire(*d.ResultingVersions)
		w.Advance = &advance
	}
	return w, err
}

func deltaFromWire(w *deltaWire) (*gossip.Delta, error) {
	if w == nil {
		return nil, nil
	}
	updates, err := unpackUpdates(w.Updates)
	if err != nil {
		return nil, err
	}
	d := &gossip.Delta{
		Updates: updates, States: w.States, Stops: w.Stops, Shares: w.Shares, Leaves: w.Leaves,
		Suspects: w.Suspects, Steps: w.Steps, Document: w.Document,
	}
	if w.Advance != nil {
		advance, err := vectorFromWire(*w.Advance)
		if err != nil {
			return nil, err
		}
		d.ResultingVersions = &advance
	}
	return d, nil
}
