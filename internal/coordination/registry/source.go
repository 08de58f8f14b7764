package registry

import (
	"time"

	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// limits are the times that follow from the bound for leaving upstreams. An instance
// that is two polls away from the store learns of a change after one interval of reads
// and two polls. If a reader is lost right after a read, the instance next in line needs
// the time up to the next step of maxEntriesAge to replace it, and the last step leaves
// the time to read the store.
type limits struct {
	leaveTimeout  time.Duration
	renewInterval time.Duration // of the entries
}

const (
	// entryReadFraction is the interval between two reads of the entries, as a
	// fraction of LeaveTimeout.
	entryReadFraction = 0.3
	// maxReadAgeFraction is the age of the entries, as a fraction of LeaveTimeout, above
	// which an instance that reads the store counts as having lost it. It covers two
	// intervals of reads.
	maxReadAgeFraction = 0.6
	// hopAgeFraction is how much older the entries may be for each instance between the
	// store and the one that shares them. An instance replaces its reader within this
	// time, before those that poll it look for another one.
	hopAgeFraction = 0.1
	// maxHops is the number of instances between the store and one that shares data: the
	// root reader and the reader of a cell are before its other members.
	maxHops = 2
	// maxSourceHops is the same for one that may be polled: readers that have lost the store
	// poll another member.
	maxSourceHops = maxHops + 1
	// maxRulesAge is the age of the rules, beyond the wait of a call for them, above
	// which an instance counts as unable to read them, and rulesHopAge how much older
	// they may be for each hop. Rules must be in force within 2 s.
	maxRulesAge = 1200 * time.Millisecond
	rulesHopAge = 200 * time.Millisecond
	// maxReaderPollWait and maxReaderPollMargin bound readerPollWait and
	// readerPollMargin.
	maxReaderPollWait   = 300 * time.Millisecond
	maxReaderPollMargin = 400 * time.Millisecond
	// maxAvoidedReaders is the number of lost readers in a row that an instance passes
	// over before it reads the store itself: each takes the time of a poll to be
	// recognised as lost.
	maxAvoidedReaders = 1
)

// expiryIntervals is the number of intervals of renewal in which the store must be away for
// an entry to expire: the last write before may be almost one interval old.
const expiryIntervals = 2

// minOutage is the time without a read by any instance from which on the store counts as
// having been away. Shorter ones let no entry expire, or pass while a lost reader is replaced.
func (l limits) minOutage() time.Duration {
	return max(expiryIntervals*l.renewInterval, l.maxEntriesAge(maxHops)+l.entryReadInterval())
}

func (l limits) fraction(f float64) time.Duration {
	return time.Duration(f * float64(l.leaveTimeout))
}

// entryReadInterval is the time between two reads of the entries.
func (l limits) entryReadInterval() time.Duration { return l.fraction(entryReadFraction) }

// maxEntriesAge is the age of the entries above which an instance counts as having lost
// the store. hops is the number of instances between it and the store.
func (l limits) maxEntriesAge(hops int) time.Duration {
	return l.fraction(maxReadAgeFraction + hopAgeFraction*float64(min(hops, maxHops)))
}

// maxRulesAge is the same for the rules.
func (l limits) maxRulesAge(hops int) time.Duration {
	return maxRulesAge + time.Duration(min(hops, maxHops))*rulesHopAge
}

// readerPollWait is how long a reader holds a poll when there is no change.
func (l limits) readerPollWait() time.Duration {
	return min(maxReaderPollWait, l.fraction(0.1))
}

// readerPollMargin is how long an answer may take beyond that before the reader counts
// as lost.
func (l limits) readerPollMargin() time.Duration {
	return min(maxReaderPollMargin, l.fraction(0.2))
}

// timeLeft returns how long data of these ages may still be shared, 0 if they are too old.
func (l limits) timeLeft(age Ages) time.Duration {
	return max(min(l.maxEntriesAge(age.Hops)-age.Entries, l.maxRulesAge(age.RulesHops)-age.Rules), 0)
}

// overdue returns for how long data of these ages have been too old to be shared, 0 if they
// are not.
func (l limits) overdue(age Ages) time.Duration {
	return max(age.Entries-l.maxEntriesAge(age.Hops), age.Rules-l.maxRulesAge(age.RulesHops), 0)
}

// Ages says how old the data are that an instance shares.
type Ages struct {
	Entries   time.Duration // since the last read of the entries
	Rules     time.Duration // since the rules were last known to be the newest
	ReadFor   time.Duration // for which the store had been read without an outage at the last read; 0 from earlier builds
	Hops      int           // instances between the one that shares the entries and the store
	RulesHops int           // the same for the rules
}

// Max returns the greater age.
func (a Ages) Max() time.Duration { return max(a.Entries, a.Rules) }

// chooseSource returns the first live instance in line that is not avoided, and false if
// an instance is to read the store itself: if it is that one, or if too many before it
// are avoided. One lost reader makes the next in line read, and not all who polled it.
func chooseSource(line []model.Instance, self model.InstanceID, avoided func(model.InstanceID) bool) (model.Instance, bool) {
	passed := 0
	for _, in := range line {
		switch {
		case in.State != model.InstanceLive:
		case in.ID == self:
			return in, false
		case !avoided(in.ID):
			return in, true
		case passed == maxAvoidedReaders:
			return model.Instance{}, false
		default:
			passed++
		}
	}
	return model.Instance{}, false
}
