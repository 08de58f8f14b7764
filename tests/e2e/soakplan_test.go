package e2e

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// faultKind is a kind of fault of a soak.
type faultKind string

// Kinds of faults. Faults on an instance, a worker or a link have a target.
const (
	faultKill      faultKind = "instance killed"
	faultFreeze    faultKind = "instance frozen"
	faultStop      faultKind = "instance stopped"
	faultReload    faultKind = "settings changed"
	faultKillAll   faultKind = "all instances killed"
	faultStoreBusy faultKind = "store busy"
	faultStoreLost faultKind = "store loses answers"
	faultCompact   faultKind = "store drops its history"
	faultStoreLink faultKind = "link to store"
	faultCrash     faultKind = "worker crashed"
	faultDrain     faultKind = "worker drained"
	faultFull      faultKind = "worker full"
	faultLink      faultKind = "link to worker"
	faultRules     faultKind = "rules changed"              // back to those of the beginning, but for the spare key
	faultLeave     faultKind = "worker says that it leaves" // in its answers only
	faultPause     faultKind = "worker asks for a pause"
	faultSilent    faultKind = "worker silent" // for a time that sound workers may be
	// faultStoreOutage takes the store away from all instances.
	faultStoreOutage faultKind = "link to store of all"
	// faultRestore takes the store away from all instances and brings it back from a copy.
	faultRestore faultKind = "store restored from a copy"
	// faultVariedRules changes the rules in all their parts.
	faultVariedRules faultKind = "rules varied"
)

// faultWeights says how often each kind is drawn.
var faultWeights = map[faultKind]int{
	faultKill: 3, faultFreeze: 3, faultStop: 3, faultReload: 1, faultKillAll: 1, faultStoreBusy: 2, faultStoreLost: 2,
	faultCompact: 1, faultStoreLink: 3, faultCrash: 4, faultDrain: 3, faultFull: 1, faultLink: 5, faultRules: 4,
}

// fault is one planned fault.
type fault struct {
	kind   faultKind
	at     time.Duration // since the beginning of the load
	length time.Duration
	target int // number of the instance or worker, modulo their count
	mode   proxyMode
	times  int           // number of times that the fault is applied, to one target after the other
	gap    time.Duration // between repetitions
}

// soakPlan is a soak as its seed determines it.
type soakPlan struct {
	seed      uint64
	instances int
	engines   int
	desks     int
	callers   int
	faults    []fault
	load      time.Duration // the last soakRecovery of it is without faults
}

// soakRecovery is the time without faults at the end of a soak, in which the
// system must recover.
const soakRecovery = 9 * time.Second

// newSoakPlan returns a plan without faults whose size is random.
func newSoakPlan(random *rand.Rand, seed uint64, faulty time.Duration, scale int) soakPlan {
	return soakPlan{
		seed:      seed,
		instances: (2 + random.IntN(4)) * scale,
		engines:   (4 + random.IntN(5)) * scale,
		desks:     (2 + random.IntN(3)) * scale,
		callers:   (14 + random.IntN(11)) * scale,
		load:      faulty + soakRecovery,
	}
}

func planSoak(seed uint64, faulty time.Duration, scale int) soakPlan {
	random := rand.New(rand.NewPCG(seed, 7))
	p := newSoakPlan(random, seed, faulty, scale)
	drawn := drawKinds(random)
	modes := []proxyMode{modeDelay, modeSilent, modeOneWay, modeReset}
	for range int(faulty/time.Second)/2 + random.IntN(2*int(faulty/time.Second)) {
		f := fault{
			kind:   drawn[random.IntN(len(drawn))],
			at:     time.Second + time.Duration(random.Int64N(int64(faulty-2*time.Second))),
			length: 200*time.Millisecond + time.Duration(random.Int64N(int64(3500*time.Millisecond))),
			target: random.IntN(1 << 20),
			mode:   modes[random.IntN(len(modes))],
			times:  1,
		}
		if random.IntN(4) == 0 {
			f.times, f.gap = 2+random.IntN(3), time.Duration(50+random.IntN(600))*time.Millisecond
		}
		p.faults = append(p.faults, f)
	}
	p.faults = append(p.faults, planNotices(seed, faulty)...)
	p.faults = append(p.faults, planSilences(seed, faulty)...)
	p.faults = append(p.faults, planVariedRules(seed, faulty)...)
	p.faults = append(p.faults, planStoreOutages(seed, faulty)...)
	p.faults = append(p.faults, planRestores(seed, faulty)...)
	slices.SortFunc(p.faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return p
}

// planNotices plans what workers say in answers, for every second seed. It has random
// numbers of its own, so that the other faults of a seed stay as they were.
func planNotices(seed uint64, faulty time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 8))
	if random.IntN(2) == 0 {
		return nil
	}
	var faults []fault
	for range 1 + random.IntN(4) {
		faults = append(faults, fault{
			kind:   []faultKind{faultLeave, faultPause}[random.IntN(2)],
			at:     time.Second + time.Duration(random.Int64N(int64(faulty-2*time.Second))),
			length: time.Second + time.Duration(random.Int64N(int64(2*time.Second))),
			target: random.IntN(1 << 20),
			times:  1,
		})
	}
	return faults
}

// planVariedRules plans series of varied rules, for every second seed, with random numbers
// of its own as planNotices has.
func planVariedRules(seed uint64, faulty time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 13))
	if random.IntN(2) == 0 {
		return nil
	}
	var faults []fault
	for range 1 + random.IntN(3) {
		faults = append(faults, drawSeries(random, faultVariedRules, faulty))
	}
	return faults
}

// planStoreOutages plans outages of the whole store, for every second seed, with random
// numbers of its own as planNotices has.
func planStoreOutages(seed uint64, faulty time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 14))
	if random.IntN(2) == 0 {
		return nil
	}
	modes := []proxyMode{modeSilent, modeOneWay, modeReset, modeDead, modeRefuse}
	var faults []fault
	for range 1 + random.IntN(2) {
		faults = append(faults, fault{
			kind:   faultStoreOutage,
			at:     time.Second + time.Duration(random.Int64N(int64(faulty-2*time.Second))),
			length: time.Second + time.Duration(random.Int64N(int64(3*time.Second))),
			mode:   modes[random.IntN(len(modes))],
			times:  1,
		})
	}
	return faults
}

// planRestores plans restores of the store from a copy, for every second seed, with random
// numbers of its own as planNotices has. The length is that of the history that is lost, and
// an odd target lets versions overtake what instances have read.
func planRestores(seed uint64, faulty time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 15))
	if random.IntN(2) == 0 {
		return nil
	}
	var faults []fault
	for range 1 + random.IntN(2) {
		faults = append(faults, fault{
			kind:   faultRestore,
			at:     time.Second + time.Duration(random.Int64N(int64(faulty-2*time.Second))),
			length: time.Second + time.Duration(random.Int64N(int64(3*time.Second))),
			target: random.IntN(1 << 20),
			times:  1 + random.IntN(2),
			gap:    time.Duration(random.IntN(700)) * time.Millisecond,
		})
	}
	return faults
}

// planPlannedWork returns a plan with no faults but changes of the rules, reloads and
// planned stops, which overlap, and silences of sound workers beside them.
func planPlannedWork(seed uint64, faulty time.Duration, scale int) soakPlan {
	random := rand.New(rand.NewPCG(seed, 12))
	p := newSoakPlan(random, seed, faulty, scale)
	kinds := []faultKind{faultVariedRules, faultVariedRules, faultRules, faultReload, faultStop, faultStop}
	for range 4 + random.IntN(6) {
		p.faults = append(p.faults, drawSeries(random, kinds[random.IntN(len(kinds))], faulty))
	}
	p.faults = append(p.faults, planSilences(seed, faulty)...)
	slices.SortFunc(p.faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return p
}

// drawSeries draws a series of up to eight faults of one kind.
func drawSeries(random *rand.Rand, kind faultKind, faulty time.Duration) fault {
	f := fault{
		kind:   kind,
		at:     time.Second + time.Duration(random.Int64N(int64(faulty-2*time.Second))),
		target: random.IntN(1 << 20),
		times:  1 + random.IntN(8),
		gap:    time.Duration(20+random.IntN(500)) * time.Millisecond,
	}
	if kind == faultStop {
		f.times = 1 + random.IntN(2)
	}
	return f
}

// drawKinds draws some of the kinds and returns each as often as its weight says.
// Bounds are checked only after some seconds without faults at the instance and
// the store, so a soak with all kinds would check few bounds.
func drawKinds(random *rand.Rand) []faultKind {
	kinds := make([]faultKind, 0, len(faultWeights))
	for kind := range faultWeights {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	var drawn []faultKind
	for _, kind := range kinds[:2+random.IntN(5)] {
		for range faultWeights[kind] {
			drawn = append(drawn, kind)
		}
	}
	return drawn
}
