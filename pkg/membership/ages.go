package membership

import (
	"encoding/binary"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// ageUnit is the unit of the ages that instances tell one another, in milliseconds.
const ageUnit clock.Millis = 50

// unknownAge stands for no age, or for one too high to be told.
const unknownAge = 255

// Ages tells how long ago members were known to hold no revision above the one told along.
type Ages struct {
	// View is the hash of the members that the sender sees.
	View uint64
	// Dense has the age of each member in the order of their names, in units of 50 ms, rounded up.
	Dense []byte
	// Sparse has the hash of the name and the age of each member, for a receiver of another view.
	Sparse []byte
}

// ages returns the ages at now; this instance has age 0.
func (f *Freshness) ages(members []catalogue.Member, view uint64, now clock.Millis, sparse bool) Ages {
	a := Ages{View: view}
	for _, m := range members {
		age := f.age(m.Name, now)
		if !sparse {
			a.Dense = append(a.Dense, age)
		} else if age != unknownAge {
			a.Sparse = append(binary.LittleEndian.AppendUint32(a.Sparse, originHash(m.Name, 0)), age)
		}
	}
	return a
}

func (f *Freshness) age(name string, now clock.Millis) byte {
	if name == f.Self {
		return 0
	}
	at := f.heard[name]
	units := (now - at + ageUnit - 1) / ageUnit
	if at == 0 || units >= unknownAge {
		return unknownAge
	}
	return byte(units)
}

// learn takes the ages of an answer to a question that was sent at the monotonic time sentAt.
// The answer was made after that, so that the ages count back from sentAt.
func (f *Freshness) learn(a Ages, members []catalogue.Member, view uint64, sentAt clock.Millis) {
	if a.View == view && len(a.Dense) == len(members) {
		for i, m := range members {
			f.learnOne(m.Name, a.Dense[i], sentAt)
		}
		return
	}
	if len(a.Sparse) == 0 {
		return
	}
	told := map[uint32]byte{}
	for s := a.Sparse; len(s) >= 5; s = s[5:] {
		told[binary.LittleEndian.Uint32(s)] = s[4]
	}
	for _, m := range members {
		if age, found := told[originHash(m.Name, 0)]; found {
			f.learnOne(m.Name, age, sentAt)
		}
	}
}

func (f *Freshness) learnOne(name string, age byte, sentAt clock.Millis) {
	if age == unknownAge || name == f.Self {
		return
	}
	f.Heard(name, sentAt-clock.Millis(age)*ageUnit, 0)
}

func encodeRevision(r catalogue.Revision) []byte { return binary.AppendUvarint(nil, uint64(r)+1) }

func decodeRevision(data []byte) catalogue.Revision {
	r, n := binary.Uvarint(data)
	if n <= 0 {
		return -1
	}
	return catalogue.Revision(r) - 1
}
