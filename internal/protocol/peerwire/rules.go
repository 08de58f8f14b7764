package peerwire

import (
	"bytes"
	"compress/flate"
	"io"
	"reflect"

	"github.com/gravitational/trace"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// packedRules are routing rules as the difference to rules that the receiver has.
// Operators change a few routes at a time, and a reader sends each change to all
// instances that poll it.
type packedRules struct {
	Base   uint64             `cbor:"1,keyasint"` // revision of the rules that Routes refers to; 0 means none
	Rules  model.RoutingRules `cbor:"2,keyasint"` // without routes
	Routes []routeSpan        `cbor:"3,keyasint,omitempty"`
}

// routeSpan is a run of routes of the base, followed by routes that are new.
type routeSpan struct {
	_     struct{} `cbor:",toarray"`
	From  uint32   // position in the base
	Count uint32
	New   []model.HostRoute
}

// PackRules encodes and compresses rules, as the difference to base unless base is
// nil.
func PackRules(rules, base *model.RoutingRules) ([]byte, error) {
	packed := packedRules{Rules: *rules}
	packed.Rules.Routes = nil
	var baseRoutes []model.HostRoute
	if base != nil {
		packed.Base, baseRoutes = base.Revision, base.Routes
	}
	packed.Routes = routeSpans(rules.Routes, baseRoutes)
	data, err := encoding.Marshal(packed)
	if err != nil {
		return nil, trace.Wrap(err, "encode routing rules")
	}
	var out bytes.Buffer
	compressor, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := compressor.Write(data); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := compressor.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return out.Bytes(), nil
}

// routeSpans describes routes by runs of the base's routes and by new ones.
func routeSpans(routes, base []model.HostRoute) []routeSpan {
	position := make(map[string]int, len(base))
	for i := range base {
		position[base[i].Name] = i
	}
	var spans []routeSpan
	for _, route := range routes {
		i, found := position[route.Name]
		found = found && reflect.DeepEqual(base[i], route)
		last := len(spans) - 1
		switch {
		case found && last >= 0 && len(spans[last].New) == 0 && int(spans[last].From+spans[last].Count) == i:
			spans[last].Count++
		case found:
			spans = append(spans, routeSpan{From: uint32(i), Count: 1})
		case last < 0:
			spans = append(spans, routeSpan{New: []model.HostRoute{route}})
		default:
			spans[last].New = append(spans[last].New, route)
		}
	}
	return spans
}

// unpackRules decodes packed rules. base are the rules whose revision the receiver
// named in its poll; nil means none.
func unpackRules(data []byte, base *model.RoutingRules) (*model.RoutingRules, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), MaxMessageBytes+1))
	if err != nil {
		return nil, trace.BadParameter("packed rules: %v", err)
	}
	if len(plain) > MaxMessageBytes {
		return nil, trace.Wrap(&SizeError{Bytes: uint64(len(plain))})
	}
	var packed packedRules
	if err := decoding.Unmarshal(plain, &packed); err != nil {
		return nil, trace.BadParameter("packed rules: %v", err)
	}
	var baseRoutes []model.HostRoute
	if packed.Base != 0 {
		if base == nil || base.Revision != packed.Base {
			return nil, trace.BadParameter("packed rules are relative to revision %d, which is not the one in force", packed.Base)
		}
		baseRoutes = base.Routes
	}
	rules := packed.Rules
	for _, span := range packed.Routes {
		from, end := uint64(span.From), uint64(span.From)+uint64(span.Count)
		if end > uint64(len(baseRoutes)) || uint64(len(rules.Routes))+end-from > maxArrayElements {
			return nil, trace.BadParameter("packed rules refer to routes %d to %d of %d", from, end, len(baseRoutes))
		}
		rules.Routes = append(rules.Routes, baseRoutes[from:end]...)
		rules.Routes = append(rules.Routes, span.New...)
	}
	return &rules, nil
}
