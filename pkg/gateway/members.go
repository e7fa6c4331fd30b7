package gateway

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// gatherTime is how long the members are not read after this one was entered, in milliseconds: instances that are started
	// together are so read at once, which saves a read for each of them.
	gatherTime clock.Millis = 350
	// membersTime is how long the members are waited for before the other topics are read on, in milliseconds; it is below what
	// a read may take.
	membersTime clock.Millis = 1000
	// enrolPause is the pause between tries to enter this instance in the members' topic, in milliseconds.
	enrolPause clock.Millis = 1000
	// enrolTime bounds one try, in milliseconds.
	enrolTime clock.Millis = 1500
)

// MemberRecord is an entry instance as the members' topic has it, or its removal.
type MemberRecord struct {
	Member  catalogue.Member
	Removed bool
}

// RecordWriter appends the record of a key to a topic; without a value the key is dropped.
type RecordWriter interface {
	Put(ctx context.Context, topic archive.TopicName, key string, value []byte) error
}

// decodeMember reads a record of the members' topic, whose format is this project's own.
func decodeMember(r archive.Record) (MemberRecord, error) {
	m := MemberRecord{Member: catalogue.Member{Name: r.Key}, Removed: len(r.Value) == 0}
	if m.Removed {
		return m, nil
	}
	if err := json.Unmarshal(r.Value, &m.Member); err != nil {
		return m, errors.Wrap(err, "member")
	}
	if m.Member.Name != r.Key || m.Member.PeerAddress == "" {
		return m, errors.New("the record belongs to another member or has no address")
	}
	return m, nil
}

// enrol enters this instance in the members' topic, again and again until the store has it.
func (h *House) enrol(ctx context.Context) error {
	value, err := json.Marshal(h.self)
	if err != nil {
		return errors.Wrap(err, "member")
	}
	for {
		err := h.putMember(ctx, value)
		if err == nil {
			close(h.enrolled)
			break
		}
		h.Log.Info("not entered as a member", "cause", err.Error())
		if err := clock.Sleep(ctx, h.Clock, enrolPause); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

func (h *House) putMember(ctx context.Context, value []byte) error {
	ctx, cancel := clock.WithTimeout(ctx, h.Clock, enrolTime)
	defer cancel()
	return h.Records.Put(ctx, archive.TopicMembers, h.self.Name, value)
}

// leave takes this instance out of the members' topic; one that can't is asked in vain by the others for a while.
func (h *House) leave() {
	if err := h.putMember(context.Background(), nil); err != nil {
		h.Log.Info("not taken out of the members", "cause", err.Error())
	}
}

// seniors returns the other members of the own zone that run longer, the longest first, and how many members the zone has.
func (h *House) seniors() (names []string, zone int) {
	var older []catalogue.Member
	for _, m := range h.control.Snapshot().Members {
		if m.Zone != h.self.Zone {
			continue
		}
		zone++
		if m.Name != h.self.Name && compareAge(m, h.self) < 0 {
			older = append(older, m)
		}
	}
	slices.SortFunc(older, compareAge)
	for _, m := range older {
		names = append(names, m.Name)
	}
	return names, zone
}

// heads returns the member of each zone that runs longest.
func (h *House) heads() map[string]string {
	oldest := map[string]catalogue.Member{}
	for _, m := range h.control.Snapshot().Members {
		if old, known := oldest[m.Zone]; !known || compareAge(m, old) < 0 {
			oldest[m.Zone] = m
		}
	}
	names := make(map[string]string, len(oldest))
	for zone, m := range oldest {
		names[zone] = m.Name
	}
	return names
}

// eldest returns the member that runs longest of all.
func (h *House) eldest() string {
	members := h.control.Snapshot().Members
	if len(members) == 0 {
		return ""
	}
	return slices.MinFunc(members, compareAge).Name
}

func compareAge(a, b catalogue.Member) int {
	switch {
	case a.Incarnation < b.Incarnation:
		return -1
	case a.Incarnation > b.Incarnation:
		return 1
	case a.Name < b.Name:
		return -1
	}
	return 1
}

// awaitMembers returns once the members are known, or after a time in which they should have been.
func (h *House) awaitMembers(ctx context.Context) {
	due, stop := h.Clock.Timer(membersTime)
	defer stop()
	select {
	case <-h.membersKnown:
	case <-due:
	case <-ctx.Done():
	}
}

// followMembers follows the members' topic once this instance is in it.
func (h *House) followMembers(ctx context.Context) error {
	due, stop := h.Clock.Timer(membersTime)
	defer stop()
	select {
	case <-h.enrolled:
		_ = clock.Sleep(ctx, h.Clock, gatherTime)
	case <-due:
	case <-ctx.Done():
	}
	return follow(ctx, h, archive.TopicMembers, membersWait, decodeMember, nil)
}
