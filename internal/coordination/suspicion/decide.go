package suspicion

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
	"github.com/sequoiavalve/sequoiavalve/internal/state/suspect"
)

// Verdict says on which engines a request may run.
type Verdict int

// Verdicts, in the order of the number of engine deaths that count against the
// request: none, one, two, and three or more.
const (
	Unrestricted Verdict = iota // on any engine
	Quarantine                  // on an engine that runs no other suspect
	NeedsPermit                 // once more, with a permit, on an engine without other suspects
	Refused                     // not at all
)

func verdictFor(deaths int) Verdict {
	return Verdict(min(deaths, int(Refused)))
}

// rankEngines sorts the engines by their rendezvous hash with the fingerprint.
// The order is the same on all instances, so that different suspects spread over
// the engines and copies of the same suspect run on the same engine.
func rankEngines(engines []model.UpstreamID, fp suspect.Fingerprint) []model.UpstreamID {
	weight := func(id model.UpstreamID) uint64 { return xxhash.Sum64String(string(fp) + "\x00" + string(id)) }
	ranked := slices.Clone(engines)
	slices.SortFunc(ranked, func(a, b model.UpstreamID) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b))
	})
	return ranked
}

// chooseUnshared returns an engine that runs no other suspect, preferably one on
// which the fingerprint already runs.
func chooseUnshared(engines []model.UpstreamID, fp suspect.Fingerprint, hosts []suspect.Host) (model.UpstreamID, bool) {
	others := map[model.UpstreamID]bool{}
	for _, h := range hosts {
		if h.ID.Fingerprint != fp {
			others[h.ID.Upstream] = true
		}
	}
	ranked := rankEngines(engines, fp)
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

// chooseShared returns the engine with the fewest suspects among those without
// an exclusive claim. nearRefusal holds the fingerprints that are refused after
// one more death. An engine that runs one of them is not shared either, since an
// innocent one would be refused for the death that the other suspect causes.
func chooseShared(engines []model.UpstreamID, fp suspect.Fingerprint, hosts []suspect.Host, nearRefusal map[suspect.Fingerprint]bool) (model.UpstreamID, bool) {
	load, exclusive := map[model.UpstreamID]int{}, map[model.UpstreamID]bool{}
	for _, h := range hosts {
		load[h.ID.Upstream]++
		exclusive[h.ID.Upstream] = exclusive[h.ID.Upstream] || h.Exclusive || nearRefusal[h.ID.Fingerprint]
	}
	ranked := slices.DeleteFunc(rankEngines(engines, fp), func(id model.UpstreamID) bool { return exclusive[id] })
	if len(ranked) == 0 {
		return "", false
	}
	return slices.MinFunc(ranked, func(a, b model.UpstreamID) int { return cmp.Compare(load[a], load[b]) }), true
}

// choosePermitted returns the engine on which the permitted run of the
// fingerprint has started. A claim is not enough, since another instance's claim
// of the same engine may win over it.
func choosePermitted(engines []model.UpstreamID, fp suspect.Fingerprint, hosts []suspect.Host) (model.UpstreamID, bool) {
	for _, h := range hosts {
		if h.ID.Fingerprint == fp && h.Confirmed && slices.Contains(engines, h.ID.Upstream) {
			return h.ID.Upstream, true
		}
	}
	return "", false
}

// claimWon reports whether the exclusive claim id won. It wins if the fingerprint
// runs on no other engine, which it could kill as well, if no other suspect runs
// on the claimed engine, and if no other suspect has an earlier exclusive claim
// of that engine. It returns false if the claim has expired.
func claimWon(id suspect.HostID, hosts []suspect.Host) bool {
	index := slices.IndexFunc(hosts, func(h suspect.Host) bool { return h.ID == id })
	if index < 0 {
		return false
	}
	claim := hosts[index]
	return !slices.ContainsFunc(hosts, func(h suspect.Host) bool {
		sameEngine, sameFingerprint := h.ID.Upstream == id.Upstream, h.ID.Fingerprint == id.Fingerprint
		if sameEngine == sameFingerprint {
			return false
		}
		return sameFingerprint || !h.Exclusive || claimedBefore(h, claim)
	})
}

// claimedBefore orders the exclusive claims of one engine by time.
func claimedBefore(a, b suspect.Host) bool {
	return cmp.Or(a.Claimed.Compare(b.Claimed), cmp.Compare(a.ID.Fingerprint, b.ID.Fingerprint)) < 0
}
