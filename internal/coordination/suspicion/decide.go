package suspicion

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
)

// Verdict says how a request may run.
type Verdict int

// Verdicts, by the number of engine deaths that count.
const (
	Free        Verdict = iota // on any engine
	Quarantine                 // on an engine without another suspect
	NeedsPermit                // once more, alone, with a permit
	Refused                    // not at all
)

func verdict(deaths int) Verdict {
	return Verdict(min(deaths, int(Refused)))
}

// rank orders engines for a fingerprint, the same way on all instances, so
// that suspects spread and copies of one meet on one engine.
func rank(engines []model.UpstreamID, fp suspect.Fingerprint) []model.UpstreamID {
	weight := func(id model.UpstreamID) uint64 { return xxhash.Sum64String(string(fp) + "\x00" + string(id)) }
	ranked := slices.Clone(engines)
	slices.SortFunc(ranked, func(a, b model.UpstreamID) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b))
	})
	return ranked
}

// chooseAlone returns an engine without another suspect, or the engine on
// which the fingerprint already runs.
func chooseAlone(engines []model.UpstreamID, fp suspect.Fingerprint, hosts []suspect.Host) (model.UpstreamID, bool) {
	others := map[model.UpstreamID]bool{}
	for _, h := range hosts {
		if h.ID.Fingerprint != fp {
			others[h.ID.Upstream] = true
		}
	}
	ranked := rank(engines, fp)
	for _, id := range ranked {
		runs := func(h suspect.Host) bool { return h.ID.Fingerprint == fp && h.ID.Upstream == id }
		if slices.ContainsFunc(hosts, runs) && !others[id] {
			return id, true
		}
	}
	for _, id := range ranked {
		if !others[id] {
			return id, true
		}
	}
	return "", false
}

// chooseShared returns the engine with the fewest suspects among those that
// no suspect has to itself. last are the fingerprints that one more death
// refuses: no other suspect joins them, as an innocent one would be refused
// for the death that another suspect causes.
func chooseShared(engines []model.UpstreamID, fp suspect.Fingerprint, hosts []suspect.Host, last map[suspect.Fingerprint]bool) (model.UpstreamID, bool) {
	load, exclusive := map[model.UpstreamID]int{}, map[model.UpstreamID]bool{}
	for _, h := range hosts {
		load[h.ID.Upstream]++
		exclusive[h.ID.Upstream] = exclusive[h.ID.Upstream] || h.Exclusive || last[h.ID.Fingerprint]
	}
	ranked := slices.DeleteFunc(rank(engines, fp), func(id model.UpstreamID) bool { return exclusive[id] })
	if len(ranked) == 0 {
		return "", false
	}
	return slices.MinFunc(ranked, func(a, b model.UpstreamID) int { return cmp.Compare(load[a], load[b]) }), true
}

// choosePermitted returns the engine on which the fingerprint's permitted run
// has started. A claim alone is not enough: it may lose the engine.
func choosePermitted(engines []model.UpstreamID, fp suspect.Fingerprint, hosts []suspect.Host) (model.UpstreamID, bool) {
	for _, h := range hosts {
		if h.ID.Fingerprint == fp && h.Confirmed && slices.Contains(engines, h.ID.Upstream) {
			return h.ID.Upstream, true
		}
	}
	return "", false
}

// holds reports whether an exclusive claim won: the fingerprint runs on no
// other engine, where it could take down one more, no other suspect runs on
// this engine, and no exclusive claim of another one is earlier.
func holds(id suspect.HostID, hosts []suspect.Host) bool {
	at := slices.IndexFunc(hosts, func(h suspect.Host) bool { return h.ID == id })
	if at < 0 {
		return false
	}
	own := hosts[at]
	return !slices.ContainsFunc(hosts, func(h suspect.Host) bool {
		sameEngine, sameWork := h.ID.Upstream == id.Upstream, h.ID.Fingerprint == id.Fingerprint
		if sameEngine == sameWork {
			return false
		}
		return sameWork || !h.Exclusive || before(h, own)
	})
}

// before orders exclusive claims of one engine.
func before(a, b suspect.Host) bool {
	return cmp.Or(a.Claimed.Compare(b.Claimed), cmp.Compare(a.ID.Fingerprint, b.ID.Fingerprint)) < 0
}
