package membership

import (
	"encoding/binary"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// ageUnit is the resolution of the ages that instances exchange, in milliseconds.
const ageUnit clock.Millis = 50

// unknownAge encodes the age of a member that was never heard from, or one that is too high for a byte.
const unknownAge = 255

// Ages says how long ago each member was known to hold no revision above the Highest of the same Answer.
type Ages struct {
	// View is the hash of the members that the sender sees.
	View uint64
	// Dense has one age for each member in the order of their names, in units of 50 ms, rounded up.
	Dense []byte
	// Sparse has the 32-bit hash of the name and the age of each member, for a receiver whose View differs.
	Sparse []byte
}

// encodeAges returns the ages at the monotonic time now; this instance has age 0.
func (f *Freshness) encodeAges(members []catalogue.Member, view uint64, now clock.Millis, sparse bool) Ages {
	a := Ages{View: view}
	for _, m := range members {
		age := f.encodedAge(m.Name, now)
		if !sparse {
			a.Dense = append(a.Dense, age)
		} else if age != unknownAge {
			a.Sparse = append(binary.LittleEndian.AppendUint32(a.Sparse, originHash(m.Name, 0)), age)
		}
	}
	return a
}

func (f *Freshness) encodedAge(name string, now clock.Millis) byte {
	if name == f.Self {
		return 0
	}
	at := f.heardAt[name]
	units := (now - at + ageUnit - 1) / ageUnit
	if at == 0 || units >= unknownAge {
		return unknownAge
	}
	return byte(units)
}

// mergeAges records the ages of an answer to a call that was sent at the monotonic time sentAt. The answer was made later, so
// that counting its ages back from sentAt never makes a member look fresher than it was.
func (f *Freshness) mergeAges(a Ages, members []catalogue.Member, view uint64, sentAt clock.Millis) {
	if a.View == view && len(a.Dense) == len(members) {
		for i, m := range members {
			f.mergeAge(m.Name, a.Dense[i], sentAt)
		}
		return
	}
	if len(a.Sparse) == 0 {
		return
	}
	ageByHash := map[uint32]byte{}
	for s := a.Sparse; len(s) >= 5; s = s[5:] {
		ageByHash[binary.LittleEndian.Uint32(s)] = s[4]
	}
	for _, m := range members {
		if age, found := ageByHash[originHash(m.Name, 0)]; found {
			f.mergeAge(m.Name, age, sentAt)
		}
	}
}

func (f *Freshness) mergeAge(name string, age byte, sentAt clock.Millis) {
	if age == unknownAge || name == f.Self {
		return
	}
	f.Observe(name, sentAt-clock.Millis(age)*ageUnit, 0)
}

func encodeRevision(r catalogue.Revision) []byte { return binary.AppendUvarint(nil, uint64(r)+1) }

func decodeRevision(data []byte) catalogue.Revision {
	r, n := binary.Uvarint(data)
	if n <= 0 {
		return -1
	}
	return catalogue.Revision(r) - 1
}
