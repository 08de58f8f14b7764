package golden

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/exchange"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/gossip"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/registry"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/replication"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/peerwire"
	"github.com/sequoiavalve/sequoiavalve/internal/state/generation"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
	"github.com/sequoiavalve/sequoiavalve/internal/state/upstream"
	"github.com/sequoiavalve/sequoiavalve/tests/filler"
)

// sample is one message and the function that decodes it and encodes it again.
type sample struct {
	name     string
	encode   func() (peerwire.Message, error)
	reencode func(peerwire.Message) (peerwire.Message, error)
}

// sampleOf returns a sample whose value has every field set. Adjust, which may be
// nil, makes fields that depend on one another consistent.
func sampleOf[T any](name string, adjust func(*T), encode func(T) (peerwire.Message, error), decode func(peerwire.Message) (T, error)) sample {
	var value T
	filler.Fill(&value, upstream.HealthDown, model.KindService, model.InstanceLive)
	if adjust != nil {
		adjust(&value)
	}
	return sample{
		name:   name,
		encode: func() (peerwire.Message, error) { return encode(value) },
		reencode: func(m peerwire.Message) (peerwire.Message, error) {
			decoded, err := decode(m)
			if err != nil {
				return peerwire.Message{}, err
			}
			return encode(decoded)
		},
	}
}

type registryRequest struct {
	Known registry.Cursor
	Wait  time.Duration
}

func samples() []sample {
	return []sample{
		sampleOf("view", nil, peerwire.EncodeView, peerwire.DecodeView),
		sampleOf("report", nil, peerwire.EncodeReport, peerwire.DecodeReport),
		sampleOf("gossip", orderVersions, peerwire.EncodeExchange, peerwire.DecodeExchange),
		sampleOf("log.open", nil, peerwire.EncodeOpen, peerwire.DecodeOpen),
		sampleOf("log.append", nil, peerwire.EncodeAppends, peerwire.DecodeAppends),
		sampleOf("log.append reply", nil, peerwire.EncodeAcks, peerwire.DecodeAcks),
		sampleOf("log.close", nil, peerwire.EncodeClose, peerwire.DecodeClose),
		sampleOf("log.close reply", nil,
			func(a replication.Ack) (peerwire.Message, error) { return peerwire.EncodeAck(peerwire.KindLogClose, a) },
			func(m peerwire.Message) (replication.Ack, error) { return peerwire.DecodeAck(peerwire.KindLogClose, m) }),
		sampleOf("log.fetch", nil,
			func(f replication.Fetch) (peerwire.Message, error) {
				return peerwire.EncodeFetch(peerwire.KindLogFetch, f)
			},
			func(m peerwire.Message) (replication.Fetch, error) {
				return peerwire.DecodeFetch(peerwire.KindLogFetch, m)
			}),
		sampleOf("log.fetch reply", nil, peerwire.EncodeCopy, peerwire.DecodeCopy),
		sampleOf[generation.Batch]("log.follow", nil, peerwire.EncodeBatch, peerwire.DecodeBatch),
		sampleOf("suspect.permit", nil, peerwire.EncodePermit, peerwire.DecodePermit),
		sampleOf("suspect.permit reply", nil, peerwire.EncodePermitReply, peerwire.DecodePermitReply),
		sampleOf[suspect.Rows]("suspects", nil, peerwire.EncodeSuspects, peerwire.DecodeSuspects),
		sampleOf[exchange.State]("state", nil, peerwire.EncodeState, peerwire.DecodeState),
		sampleOf("cell.demand", nil, peerwire.EncodeCellDemand, peerwire.DecodeCellDemand),
		sampleOf("move.counts", nil, peerwire.EncodeMoveCounts, peerwire.DecodeMoveCounts),
		sampleOf("registry", nil,
			func(r registryRequest) (peerwire.Message, error) { return peerwire.EncodeNewsAsk(r.Known, r.Wait) },
			func(m peerwire.Message) (registryRequest, error) {
				ask, err := peerwire.DecodeNewsAsk(m)
				return registryRequest{ask.Cursor, ask.Wait}, err
			}),
		sampleOf("registry reply", nil,
			func(d registry.Delta) (peerwire.Message, error) { return peerwire.EncodeNews(d, nil) },
			func(m peerwire.Message) (registry.Delta, error) { return peerwire.DecodeNews(m, nil) }),
		{
			name:   "error",
			encode: func() (peerwire.Message, error) { return peerwire.EncodeError(errors.New("cause")), nil },
			reencode: func(m peerwire.Message) (peerwire.Message, error) {
				return peerwire.EncodeError(peerwire.AsError(m)), nil
			},
		},
	}
}

// orderVersions sets the version of each update to one that is not below the
// versions of its entries.
func orderVersions(e *gossip.Exchange) {
	for i := range e.Delta.Updates {
		e.Delta.Updates[i].To = 1000
	}
}

// Guards against a field of a message that is lost, or written out under
// another name, between processes of two builds. Decoders ignore fields that
// they do not know, so no other test detects such a fault.
func TestPeerMessages(t *testing.T) {
	var text strings.Builder
	for _, s := range samples() {
		m, err := s.encode()
		assert.NilError(t, err, s.name)
		data, err := peerwire.Encode(m)
		assert.NilError(t, err, s.name)
		readable, err := cbor.Diagnose(m.Body)
		assert.NilError(t, err, s.name)
		fmt.Fprintf(&text, "%s\n%s\n%s\n", s.name, readable, hex.EncodeToString(data))
		if s.name == "error" { // decoding adds the peer's prefix to the text of the error
			continue
		}
		received, err := peerwire.Decode(data)
		assert.NilError(t, err, s.name)
		again, err := s.reencode(received)
		assert.NilError(t, err, s.name)
		assert.DeepEqual(t, again, m)
	}
	golden.Assert(t, text.String(), "peer-messages.golden")
}

// stateBeforeDemand is a state as builds wrote it that do not report their demand.
const stateBeforeDemand = "a3617601646b696e6465737461746564626f6479ab016273320203030404f5058185627337090a0b0c06a16373313719465007a16373313463733135088183637333311a000339001a000352000981876373323116637332331819181c181a181d0aa16373333618250ba1637333391a0003e800"

// Guards against a state of an earlier build that cannot be read, or whose missing demand
// is taken for none.
func TestStateOfAnEarlierBuild(t *testing.T) {
	data, err := hex.DecodeString(stateBeforeDemand)
	assert.NilError(t, err)
	m, err := peerwire.Decode(data)
	assert.NilError(t, err)
	s, err := peerwire.DecodeState(m)
	assert.NilError(t, err)
	assert.Equal(t, len(s.Work), 1)
	assert.Assert(t, s.Demand == nil && s.OtherCells == nil)
	again, err := peerwire.EncodeState(s)
	assert.NilError(t, err)
	assert.DeepEqual(t, again.Body, m.Body)
}
